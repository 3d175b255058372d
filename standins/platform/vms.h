/**
 * @file vms.h
 * @brief The platform's list of VMs; changes become visible after a delay.
 */
#ifndef STANDIN_VMS_H
#define STANDIN_VMS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

typedef struct vms vms_t;

vms_t *vms_create(void);
void vms_destroy(vms_t *vms);
/**
 * Replaces the list with that of @p document (`{"vms":[…]}`), which becomes
 * visible at @p visible_ms. False with the reason in @p reason if invalid.
 */
bool vms_replace(vms_t *vms, const json_t *document, int64_t visible_ms,
    char *reason, size_t reason_size);
/** The list that is visible at @p now_ms, with its revision. */
json_t *vms_dump(vms_t *vms, int64_t now_ms);

#endif
