/**
 * @file fit.h
 * @brief A line through measured points, printed as one key=value line.
 */
#ifndef BENCH_SLOPES_FIT_H
#define BENCH_SLOPES_FIT_H

#include <stdbool.h>
#include <stddef.h>

#define FIT_POINTS_MAX 8

/** Points of one measured quantity over the sizes of one part. */
typedef struct {
	const char *name; /**< as in bounds.txt and CAPACITY.md */
	const char *unit; /**< of y, per one of x */
	bool counted; /**< the same in every run: may be bounded */
	size_t count;
	double x[FIT_POINTS_MAX];
	double y[FIT_POINTS_MAX];
} fit_t;

/** The least-squares line and how far the worst point is from it. */
typedef struct {
	double slope;
	double intercept;
	double residual; /**< largest |y - line|, as share of the largest |y| */
} fit_line_t;

/** Bounds that counted slopes are checked against. */
typedef struct fit_bounds fit_bounds_t;

void fit_add(fit_t *fit, double x, double y);
fit_line_t fit_line(const fit_t *fit);
/** Prints the line, and checks it when there are bounds. */
void fit_print(const fit_t *fit, fit_bounds_t *bounds);

/** Reads `NAME LEAST MOST` lines; NULL when the file cannot be read. */
fit_bounds_t *fit_bounds_load(const char *path);
/** Prints bounds that were not kept, or met by no slope; how many. */
size_t fit_bounds_report(const fit_bounds_t *bounds);
void fit_bounds_destroy(fit_bounds_t *bounds);

#endif
