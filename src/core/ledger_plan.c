/**
 * @file ledger_plan.c
 * @brief Decides which VMs are home and witness of each slot.
 *
 * A lost VM is replaced at once and in one write; slots move to their best VMs
 * (rendezvous hashing) slowly, a few per write.
 */
#include <stdlib.h>

#include "core/ledger_state.h"

/* Slots moved per rebalancing write, and the time between such writes. */
#define REBALANCE_SLOTS 4
#define REBALANCE_MS 3000
#define REBALANCE_JITTER_MS 1000

/** Inputs of the decisions, read once for all slots. */
struct view {
	const jj_ledger_t *ledger;
	jj_ms_t now;
	jj_member_info_t *live;
	size_t live_count;
};

static void view_init(struct view *, const jj_ledger_t *, jj_ms_t);
static bool plan_slot(const struct view *, uint32_t, jj_ledger_slot_t *);
static bool plan_as_home(const struct view *, uint32_t, jj_ledger_slot_t *);
static bool plan_leaving(const struct view *, uint32_t, jj_ledger_slot_t *);
static bool
plan_towards_best(const struct view *, uint32_t, jj_ledger_slot_t *);
static bool
plan_rebalance(jj_ledger_t *, const struct view *, jj_ledger_table_t *);
static bool is_history_lost(const struct view *, uint32_t);
static bool
has_lost_history(const struct view *, uint32_t, const jj_ledger_vm_t *);
static bool is_lost(const struct view *, const jj_ledger_vm_t *);
static bool is_replaced(const struct view *, const jj_ledger_vm_t *);
static bool is_unreachable(const struct view *, const jj_ledger_vm_t *);
static bool is_leaving(const struct view *, const jj_ledger_vm_t *);
static bool is_empty_vm(const jj_ledger_vm_t *);
static bool is_same_process(const jj_ledger_vm_t *, const jj_ledger_vm_t *);
static bool choose_vm(const struct view *, uint32_t, const jj_ledger_vm_t *,
    const jj_ledger_vm_t *, jj_ledger_vm_t *);
static uint64_t hash_slot(const jj_ledger_t *, uint32_t);
static void set_next_epoch(
    jj_ledger_slot_t *, const jj_ledger_vm_t *, const jj_ledger_vm_t *);

bool
jj_ledger_plan(jj_ledger_t *ledger, jj_ledger_table_t *table, jj_ms_t now)
{
	struct view view;
	bool changed = false;
	uint32_t i;

	view_init(&view, ledger, now);
	*table = ledger->table;
	for (i = 0; i < JJ_LEDGER_SLOTS; i++)
		changed |= plan_slot(&view, i, &table->slots[i]);
	if (!changed && !ledger->leaving && now >= ledger->next_rebalance_ms)
		changed = plan_rebalance(ledger, &view, table);
	free(view.live);
	return changed;
}

/*
 * With several live VMs the first table waits for half the takeover time, so
 * that heartbeats of most VMs have arrived; a single VM waits for the whole. If
 * a neighbour has a table, none is created: the platform's "absent" would then
 * mean a lost object, and a new table would lose the history.
 */
bool
jj_ledger_plan_first(jj_ledger_t *ledger, jj_ledger_table_t *table, jj_ms_t now)
{
	jj_ms_t wait = ledger->settings.takeover_ms;
	struct view view;
	bool ready = true;
	size_t i;

	view_init(&view, ledger, now);
	if (view.live_count > 1)
		wait /= 2;
	for (i = 0; i < view.live_count; i++)
		ready = ready && view.live[i].slots_version == 0;
	ready = ready && !ledger->leaving && view.live_count > 0 &&
	    now - ledger->started_ms >= wait;
	*table = ledger->table;
	for (i = 0; ready && i < JJ_LEDGER_SLOTS; i++) {
		jj_ledger_vm_t home;
		jj_ledger_vm_t witness;

		ready = choose_vm(&view, (uint32_t)i, NULL, NULL, &home);
		(void)choose_vm(&view, (uint32_t)i, &home, NULL, &witness);
		set_next_epoch(&table->slots[i], &home, &witness);
	}
	free(view.live);
	return ready;
}

static void
view_init(struct view *view, const jj_ledger_t *ledger, jj_ms_t now)
{
	view->ledger = ledger;
	view->now = now;
	view->live = jj_alloc(JJ_LEDGER_VMS_MAX * sizeof(*view->live));
	view->live_count =
	    ledger->port.list(ledger->port.ctx, view->live, JJ_LEDGER_VMS_MAX);
}

/*
 * Guards against a witness that was never synced but takes over and runs keys
 * that the lost home has run. Only a VM with the complete history opens an
 * epoch.
 */
static bool
plan_slot(const struct view *view, uint32_t index, jj_ledger_slot_t *slot)
{
	const jj_ledger_t *ledger = view->ledger;
	const jj_ledger_vm_t lost_home = slot->home;
	bool complete = ledger->slot_states[index].complete;
	jj_ledger_vm_t best;
	jj_ledger_vm_t witness;

	if (complete && jj_ledger_is_home(ledger, index))
		return plan_as_home(view, index, slot);
	if (complete && jj_ledger_is_witness(ledger, index)) {
		if (!is_lost(view, &slot->home))
			return false;
		(void)choose_vm(
		    view, index, &ledger->self, &lost_home, &witness);
		set_next_epoch(slot, &ledger->self, &witness);
		return true;
	}
	if (ledger->leaving || !is_history_lost(view, index))
		return false;
	/*
	 * Only the best VM reopens the slot; writes of the others would
	 * conflict.
	 */
	if (!ledger->slot_states[index].released &&
	    (!choose_vm(view, index, NULL, NULL, &best) ||
		!jj_ledger_is_self(ledger, &best)))
		return false;
	(void)choose_vm(view, index, &ledger->self, NULL, &witness);
	set_next_epoch(slot, &ledger->self, &witness);
	slot->unknown = true;
	return true;
}

static bool
plan_as_home(const struct view *view, uint32_t index, jj_ledger_slot_t *slot)
{
	const jj_ledger_vm_t *self = &view->ledger->self;
	const jj_ledger_vm_t old = slot->witness;
	jj_ledger_vm_t witness;

	if (is_empty_vm(&old)) {
		if (!choose_vm(view, index, self, NULL, &witness))
			return false;
		set_next_epoch(slot, self, &witness);
		return true;
	}
	if (is_lost(view, &old) || is_leaving(view, &old)) {
		(void)choose_vm(view, index, self, &old, &witness);
		set_next_epoch(slot, self, &witness);
		return true;
	}
	return view->ledger->leaving && plan_leaving(view, index, slot);
}

/* A planned stop: the witness, which has all records, becomes the home. */
static bool
plan_leaving(const struct view *view, uint32_t index, jj_ledger_slot_t *slot)
{
	const jj_ledger_vm_t successor = slot->witness;
	jj_ledger_vm_t witness;

	if (!view->ledger->slot_states[index].synced)
		return false;
	/*
	 * This VM is the new witness only when there is no other; it still has
	 * all records.
	 */
	if (!choose_vm(view, index, &view->ledger->self, &successor, &witness))
		witness = view->ledger->self;
	set_next_epoch(slot, &successor, &witness);
	return true;
}

/* An active home moves the slot one step towards its two best VMs. */
static bool
plan_towards_best(
    const struct view *view, uint32_t index, jj_ledger_slot_t *slot)
{
	const jj_ledger_vm_t *self = &view->ledger->self;
	const jj_ledger_vm_t old = slot->witness;
	jj_ledger_vm_t best;
	jj_ledger_vm_t second;

	if (!jj_ledger_is_active_home(view->ledger, index) ||
	    !choose_vm(view, index, NULL, NULL, &best))
		return false;
	if (is_same_process(&best, self)) {
		if (!choose_vm(view, index, self, NULL, &second) ||
		    is_same_process(&second, &old))
			return false;
		set_next_epoch(slot, self, &second);
	} else if (is_same_process(&best, &old)) {
		set_next_epoch(slot, &old, self);
	} else {
		set_next_epoch(slot, self, &best);
	}
	return true;
}

static bool
plan_rebalance(
    jj_ledger_t *ledger, const struct view *view, jj_ledger_table_t *table)
{
	uint64_t jitter;
	uint32_t moved = 0;
	uint32_t i;

	for (i = 0; i < JJ_LEDGER_SLOTS && moved < REBALANCE_SLOTS; i++) {
		if (plan_towards_best(view, i, &table->slots[i]))
			moved++;
	}
	jitter =
	    jj_hash_bytes(&view->now, sizeof(view->now), ledger->settings.seed);
	ledger->next_rebalance_ms =
	    view->now + REBALANCE_MS + (jj_ms_t)(jitter % REBALANCE_JITTER_MS);
	return moved > 0;
}

/* True when no process that has the slot's complete history can return. */
static bool
is_history_lost(const struct view *view, uint32_t index)
{
	const jj_ledger_slot_t *slot = &view->ledger->table.slots[index];

	return has_lost_history(view, index, &slot->home) &&
	    (is_empty_vm(&slot->witness) ||
		has_lost_history(view, index, &slot->witness));
}

/*
 * A VM name runs on one VM only: a confirmed new incarnation means that the old
 * process has ended. This VM counts as lost when it does not have the complete
 * history. Missing heartbeats prove nothing, unless an operator released the
 * slot.
 */
static bool
has_lost_history(
    const struct view *view, uint32_t index, const jj_ledger_vm_t *vm)
{
	const jj_ledger_slot_state_t *state = &view->ledger->slot_states[index];

	if (jj_ledger_is_self(view->ledger, vm))
		return !state->complete;
	return is_replaced(view, vm) || (state->released && is_lost(view, vm));
}

static bool
is_lost(const struct view *view, const jj_ledger_vm_t *vm)
{
	if (jj_ledger_is_self(view->ledger, vm))
		return false;
	return is_replaced(view, vm) || is_unreachable(view, vm);
}

static bool
is_replaced(const struct view *view, const jj_ledger_vm_t *vm)
{
	const jj_ledger_t *ledger = view->ledger;
	const jj_member_info_t *info;

	if (jj_name_equal(&vm->name, &ledger->self.name))
		return vm->incarnation != ledger->self.incarnation;
	info = ledger->port.find(ledger->port.ctx, &vm->name);
	return info != NULL && info->incarnation != 0 &&
	    info->incarnation != vm->incarnation;
}

static bool
is_unreachable(const struct view *view, const jj_ledger_vm_t *vm)
{
	const jj_ledger_t *ledger = view->ledger;
	const jj_member_info_t *info;
	jj_ms_t last_seen_ms = ledger->started_ms;

	info = ledger->port.find(ledger->port.ctx, &vm->name);
	if (info != NULL && info->heard_ms != JJ_MS_NEVER &&
	    info->heard_ms > last_seen_ms)
		last_seen_ms = info->heard_ms;
	return view->now - last_seen_ms > ledger->settings.takeover_ms;
}

static bool
is_leaving(const struct view *view, const jj_ledger_vm_t *vm)
{
	const jj_ledger_t *ledger = view->ledger;
	const jj_member_info_t *info;

	info = ledger->port.find(ledger->port.ctx, &vm->name);
	return info != NULL && info->state == JJ_VM_LEAVING;
}

static bool
is_empty_vm(const jj_ledger_vm_t *vm)
{
	return jj_name_is_empty(&vm->name);
}

static bool
is_same_process(const jj_ledger_vm_t *a, const jj_ledger_vm_t *b)
{
	return a->incarnation == b->incarnation &&
	    jj_name_equal(&a->name, &b->name);
}

/*
 * Chooses the live VM with the greatest rendezvous weight for the slot, except
 * @p not_a and @p not_b; an empty name when there is none.
 */
static bool
choose_vm(const struct view *view, uint32_t index, const jj_ledger_vm_t *not_a,
    const jj_ledger_vm_t *not_b, jj_ledger_vm_t *chosen)
{
	uint64_t item = hash_slot(view->ledger, index);
	uint64_t best = 0;
	uint64_t weight;
	jj_ledger_vm_t vm;
	size_t i;

	*chosen = (jj_ledger_vm_t){0};
	for (i = 0; i < view->live_count; i++) {
		vm.name = view->live[i].name;
		vm.incarnation = view->live[i].incarnation;
		if (vm.incarnation == 0 || is_lost(view, &vm) ||
		    (not_a != NULL && jj_name_equal(&vm.name, &not_a->name)) ||
		    (not_b != NULL && is_same_process(&vm, not_b)))
			continue;
		weight = jj_rendezvous_weight(vm.name.text, item);
		if (!is_empty_vm(chosen) && weight <= best)
			continue;
		best = weight;
		*chosen = vm;
	}
	return !is_empty_vm(chosen);
}

static uint64_t
hash_slot(const jj_ledger_t *ledger, uint32_t index)
{
	return jj_hash_bytes(&index, sizeof(index),
	    jj_hash_bytes(ledger->settings.domain.text,
		sizeof(ledger->settings.domain.text), 0));
}

static void
set_next_epoch(jj_ledger_slot_t *slot, const jj_ledger_vm_t *home,
    const jj_ledger_vm_t *witness)
{
	slot->epoch++;
	slot->home = *home;
	slot->witness = *witness;
	slot->unknown = false;
}
