/**
 * @file messages.h
 * @brief What the VMs of one failure domain tell each other, in bytes.
 */
#ifndef BENCH_MESSAGES_H
#define BENCH_MESSAGES_H

/**
 * Runs a domain of 100 servers behind 2 to 14 VMs, each with 40 online
 * requests a second, and prints messages and bytes a second that each VM
 * sends, with the line that fits them.
 * @return 1 when a VM sends more than its budget, else 0.
 */
int messages_measure(void);

#endif
