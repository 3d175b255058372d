/**
 * @file vms.h
 * @brief The platform's list of VMs, which lags behind the truth.
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
 * Replaces the list by that of @p document (`{"vms":[…]}`), which readers see
 * from @p visible_ms on. False with the reason in @p why when it is not valid.
 */
bool vms_replace(vms_t *vms, const json_t *document, int64_t visible_ms,
    char *why, size_t why_size);
/** The list that readers see at @p now_ms, with its revision. */
json_t *vms_dump(vms_t *vms, int64_t now_ms);

#endif
