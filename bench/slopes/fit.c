/**
 * @file fit.c
 * @brief Least-squares line through measured points, printed as key=value.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/types.h"
#include "fit.h"

#define BOUNDS_MAX 64
#define NAME_SIZE 48

typedef struct {
	char name[NAME_SIZE];
	double minimum;
	double maximum;
	bool measured; /**< a slope with this name was measured */
	double slope;
} bound_t;

struct fit_bounds {
	size_t count;
	bound_t bounds[BOUNDS_MAX];
};

void
fit_add(fit_t *fit, double x, double y)
{
	JJ_INVARIANT(fit->count < FIT_POINTS_MAX);
	fit->x[fit->count] = x;
	fit->y[fit->count++] = y;
}

fit_line_t
fit_line(const fit_t *fit)
{
	fit_line_t line = {0, 0, 0};
	double mean_x = 0;
	double mean_y = 0;
	double variance = 0;
	double covariance = 0;
	double largest = 0;
	size_t i;

	for (i = 0; i < fit->count; i++) {
		mean_x += fit->x[i] / (double)fit->count;
		mean_y += fit->y[i] / (double)fit->count;
	}
	for (i = 0; i < fit->count; i++) {
		variance += (fit->x[i] - mean_x) * (fit->x[i] - mean_x);
		covariance += (fit->x[i] - mean_x) * (fit->y[i] - mean_y);
	}
	line.slope = variance > 0 ? covariance / variance : 0;
	line.intercept = mean_y - line.slope * mean_x;
	for (i = 0; i < fit->count; i++)
		largest = fmax(largest, fabs(fit->y[i]));
	for (i = 0; i < fit->count && largest > 0; i++)
		line.residual = fmax(line.residual,
		    fabs(fit->y[i] - line.intercept - line.slope * fit->x[i]) /
			largest);
	return line;
}

void
fit_print(const fit_t *fit, fit_bounds_t *bounds)
{
	fit_line_t line = fit_line(fit);
	size_t i;

	(void)printf("slope=%s unit=%s counted=%s value=%.6g intercept=%.6g "
		     "residual=%.3f points=",
	    fit->name, fit->unit, fit->counted ? "yes" : "no", line.slope,
	    line.intercept, line.residual);
	for (i = 0; i < fit->count; i++)
		(void)printf(
		    "%s%g:%.5g", i > 0 ? "," : "", fit->x[i], fit->y[i]);
	(void)printf("\n");
	(void)fflush(stdout);
	for (i = 0; bounds != NULL && i < bounds->count; i++) {
		if (strcmp(bounds->bounds[i].name, fit->name) != 0)
			continue;
		bounds->bounds[i].measured = true;
		bounds->bounds[i].slope = line.slope;
	}
}

fit_bounds_t *
fit_bounds_load(const char *path)
{
	fit_bounds_t *bounds = NULL;
	FILE *file = fopen(path, "r");
	char text[256];
	bound_t bound;

	if (file == NULL)
		return NULL;
	bounds = jj_alloc(sizeof(*bounds));
	while (fgets(text, sizeof(text), file) != NULL) {
		memset(&bound, 0, sizeof(bound));
		if (text[0] == '#' || text[0] == '\n')
			continue;
		if (bounds->count == BOUNDS_MAX ||
		    sscanf(text, "%47s %lf %lf", bound.name, &bound.minimum,
			&bound.maximum) != 3) {
			free(bounds);
			bounds = NULL;
			goto out;
		}
		bounds->bounds[bounds->count++] = bound;
	}
out:
	(void)fclose(file);
	return bounds;
}

size_t
fit_bounds_report(const fit_bounds_t *bounds)
{
	size_t broken = 0;
	size_t i;

	for (i = 0; i < bounds->count; i++) {
		const bound_t *bound = &bounds->bounds[i];

		if (bound->measured && bound->slope >= bound->minimum &&
		    bound->slope <= bound->maximum)
			continue;
		broken++;
		(void)printf("bound=%s met=%s value=%.6g least=%.6g "
			     "most=%.6g kept=no\n",
		    bound->name, bound->measured ? "yes" : "no", bound->slope,
		    bound->minimum, bound->maximum);
	}
	(void)printf("bounds=%zu broken=%zu\n", bounds->count, broken);
	return broken;
}

void
fit_bounds_destroy(fit_bounds_t *bounds)
{
	free(bounds);
}
