/**
 * @file fit.c
 * @brief A line through measured points, printed as one key=value line.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/types.h"
#include "fit.h"

#define BOUNDS_MAX 64
#define NAME_ROOM 48

typedef struct {
	char name[NAME_ROOM];
	double least;
	double most;
	bool met; /**< some slope has this name */
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
	double spread = 0;
	double together = 0;
	double greatest = 0;
	size_t i;

	for (i = 0; i < fit->count; i++) {
		mean_x += fit->x[i] / (double)fit->count;
		mean_y += fit->y[i] / (double)fit->count;
	}
	for (i = 0; i < fit->count; i++) {
		spread += (fit->x[i] - mean_x) * (fit->x[i] - mean_x);
		together += (fit->x[i] - mean_x) * (fit->y[i] - mean_y);
	}
	line.slope = spread > 0 ? together / spread : 0;
	line.intercept = mean_y - line.slope * mean_x;
	for (i = 0; i < fit->count; i++)
		greatest = fmax(greatest, fabs(fit->y[i]));
	for (i = 0; i < fit->count && greatest > 0; i++)
		line.residual = fmax(line.residual,
		    fabs(fit->y[i] - line.intercept - line.slope * fit->x[i]) /
			greatest);
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
		bounds->bounds[i].met = true;
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
		    sscanf(text, "%47s %lf %lf", bound.name, &bound.least,
			&bound.most) != 3) {
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

		if (bound->met && bound->slope >= bound->least &&
		    bound->slope <= bound->most)
			continue;
		broken++;
		(void)printf("bound=%s met=%s value=%.6g least=%.6g "
			     "most=%.6g kept=no\n",
		    bound->name, bound->met ? "yes" : "no", bound->slope,
		    bound->least, bound->most);
	}
	(void)printf("bounds=%zu broken=%zu\n", bounds->count, broken);
	return broken;
}

void
fit_bounds_destroy(fit_bounds_t *bounds)
{
	free(bounds);
}
