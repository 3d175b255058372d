/**
 * @file fit.h
 * @brief Least-squares line through measured points, printed as key=value.
 */
#ifndef BENCH_SLOPES_FIT_H
#define BENCH_SLOPES_FIT_H

#include <stdbool.h>
#include <stddef.h>

#define FIT_POINTS_MAX 8

/** Points of one measured quantity over the sizes of one part of the fleet. */
typedef struct {
	const char *name; /**< as in bounds.txt and CAPACITY.md */
	const char *unit; /**< of y, per one of x */
	bool counted; /**< the same in each run: can be bounded */
	size_t count;
	double x[FIT_POINTS_MAX];
	double y[FIT_POINTS_MAX];
} fit_t;

/** The least-squares line and the largest deviation from it. */
typedef struct {
	double slope;
	double intercept;
	double residual; /**< largest |y - line|, as share of the largest |y| */
} fit_line_t;

/** Bounds that counted slopes are checked against. */
typedef struct fit_bounds fit_bounds_t;

void fit_add(fit_t *fit, double x, double y);
fit_line_t fit_line(const fit_t *fit);
/** Prints the line and records its slope in @p bounds, which may be NULL. */
void fit_print(const fit_t *fit, fit_bounds_t *bounds);

/** Reads lines of `NAME MINIMUM MAXIMUM`; NULL when that fails. */
fit_bounds_t *fit_bounds_load(const char *path);
/** Prints the bounds that are broken or whose slope was not measured.
 * @return their number. */
size_t fit_bounds_report(const fit_bounds_t *bounds);
void fit_bounds_destroy(fit_bounds_t *bounds);

#endif
