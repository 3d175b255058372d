/**
 * @file ledger_table.c
 * @brief JSON encoding of the slot table.
 *
 * Incarnations and operations are 64-bit numbers, which JSON parsers may round;
 * they are stored as hexadecimal text.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core/ledger_table.h"

#define HEX_SIZE 17

static bool read_name(const json_t *, jj_name_t *);
static bool read_number(const json_t *, uint64_t *);
static bool read_vm(const json_t *, jj_ledger_vm_t *);
static bool read_slot(const json_t *, jj_ledger_slot_t *);
static json_t *number_json(uint64_t);
static json_t *vm_json(const jj_ledger_vm_t *);
static json_t *slot_json(const jj_ledger_slot_t *);

bool
jj_ledger_table_parse(const jj_bytes_t *stored, jj_ledger_table_t *table)
{
	json_t *root = NULL;
	const json_t *slots;
	bool valid = false;
	size_t i;

	memset(table, 0, sizeof(*table));
	if (stored->size == 0)
		return false;
	root = json_loadb(stored->data, stored->size, 0, NULL);
	slots = json_object_get(root, "slots");
	if (json_array_size(slots) != JJ_LEDGER_SLOTS)
		goto out;
	for (i = 0; i < JJ_LEDGER_SLOTS; i++) {
		if (!read_slot(json_array_get(slots, i), &table->slots[i]))
			goto out;
	}
	valid = read_name(json_object_get(root, "writer"), &table->writer) &&
	    read_number(json_object_get(root, "operation"), &table->operation);
out:
	json_decref(root);
	return valid;
}

jj_bytes_t
jj_ledger_table_print(const jj_ledger_table_t *table)
{
	json_t *root = json_object();
	json_t *slots = json_array();
	jj_bytes_t stored = {NULL, 0};
	char *text;
	size_t i;

	for (i = 0; i < JJ_LEDGER_SLOTS; i++)
		json_array_append_new(slots, slot_json(&table->slots[i]));
	json_object_set_new(root, "slots", slots);
	json_object_set_new(root, "writer", json_string(table->writer.text));
	json_object_set_new(root, "operation", number_json(table->operation));
	text = json_dumps(root, JSON_COMPACT);
	JJ_INVARIANT(text != NULL);
	stored = jj_bytes_from_text(text);
	free(text);
	json_decref(root);
	return stored;
}

static bool
read_name(const json_t *json, jj_name_t *name)
{
	const char *text = json_string_value(json);

	return text != NULL && text[0] != '\0' && jj_name_set(name, text);
}

static bool
read_number(const json_t *json, uint64_t *number)
{
	const char *text = json_string_value(json);
	char *end = NULL;

	if (text == NULL || text[0] == '\0' || strlen(text) >= HEX_SIZE)
		return false;
	*number = strtoull(text, &end, 16);
	return *end == '\0';
}

static bool
read_vm(const json_t *json, jj_ledger_vm_t *vm)
{
	return read_name(json_object_get(json, "name"), &vm->name) &&
	    read_number(
		json_object_get(json, "incarnation"), &vm->incarnation) &&
	    vm->incarnation != 0;
}

static bool
read_slot(const json_t *json, jj_ledger_slot_t *slot)
{
	const json_t *witness = json_object_get(json, "witness");
	const json_t *unknown = json_object_get(json, "unknown");
	json_int_t epoch = json_integer_value(json_object_get(json, "epoch"));

	if (epoch < 1 || !json_is_boolean(unknown))
		return false;
	slot->epoch = (uint64_t)epoch;
	slot->unknown = json_is_true(unknown);
	if (!read_vm(json_object_get(json, "home"), &slot->home))
		return false;
	if (json_is_null(witness))
		return true;
	return read_vm(witness, &slot->witness) &&
	    !jj_name_equal(&slot->witness.name, &slot->home.name);
}

static json_t *
number_json(uint64_t number)
{
	char text[HEX_SIZE];

	(void)snprintf(text, sizeof(text), "%" PRIx64, number);
	return json_string(text);
}

static json_t *
vm_json(const jj_ledger_vm_t *vm)
{
	json_t *json;

	if (jj_name_is_empty(&vm->name))
		return json_null();
	json = json_object();
	json_object_set_new(json, "name", json_string(vm->name.text));
	json_object_set_new(json, "incarnation", number_json(vm->incarnation));
	return json;
}

static json_t *
slot_json(const jj_ledger_slot_t *slot)
{
	json_t *json = json_object();

	json_object_set_new(
	    json, "epoch", json_integer((json_int_t)slot->epoch));
	json_object_set_new(json, "home", vm_json(&slot->home));
	json_object_set_new(json, "witness", vm_json(&slot->witness));
	json_object_set_new(json, "unknown", json_boolean(slot->unknown));
	return json;
}
