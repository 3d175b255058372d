/**
 * @file messages.h
 * @brief Bytes of the messages between the VMs of one failure domain.
 */
#ifndef BENCH_MESSAGES_H
#define BENCH_MESSAGES_H

/**
 * Runs a domain of 100 servers behind 2 to 14 VMs, each with 40 online
 * requests per second; prints the messages and bytes per second that each VM
 * sends and the least-squares line through them.
 * @return 1 when a VM sends more than its budget, else 0.
 */
int messages_measure(void);

#endif
