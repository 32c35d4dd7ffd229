#include "protected/concurrencylimit.h"

#include <math.h>
#include <string.h>

#include "protected/clock.h"

/* Levels of requests in work that are told apart; with more than LEVELS_MAX / 2 declared
 * slots, several numbers of requests share a level. */
#define LEVELS_MAX 32
/* Observations lose 63% of their weight in these times. The first is for the comparison
 * of levels and the present service time: at 75 requests/s it leaves some 75 samples, and
 * a change shows within a second. The other is for the usual time of a class, which has
 * to be steadier than the mix of classes. */
#define RECENT_US DP_US_PER_S
#define USUAL_US (10 * DP_US_PER_S)
/* Samples in these means at most. A server that has become slow ends fewer requests, and
 * the many that ended before would hide it. */
#define RECENT_SAMPLES 48.0
#define LEVEL_SAMPLES 64.0
#define WEIGHT_MIN 0.01 /* smaller weights are ignored */
/* Samples of a class before its requests are compared with the usual time. */
#define USUAL_SAMPLES_MIN 8
/* Weight of the usual time, in samples, within the present service time, so that a single
 * request of the long tail doesn't make a server with few requests look slow. */
#define USUAL_WEIGHT 2.0
/* Variance of the logarithm of service times: 0.25 for a log-normal deviation of 0.5,
 * and 0.11 for 3% of requests that take seven times as long. */
#define LOG_VARIANCE 0.36
/* Limit of a sample's logarithm, relative to the usual time: a factor of 12. */
#define LOG_RATIO_MAX 2.5
/* Improvement of the squared error, in variances, that another limit must bring. 8 is
 * exceeded by chance in 1 of 200 comparisons of independent samples. Less is needed below
 * the declared slots, which has been shown to be right before, and while requests are
 * slower than at lower numbers. */
#define EVIDENCE 8.0
#define EVIDENCE_WHEN_EXPECTED 4.0
/* Between limits that fit equally well, the one nearest to the present limit is taken. */
#define DISTANCE_COST 0.01
/* An evaluation lowers or raises the limit by at most this share of it, or by one. */
#define STEP_SHARE 0.25
/* Flows offered in excess of the limit, so that no slot is idle during the handshake of
 * the next client. */
#define EXCESS_MAX 2
/* A limit below the declared slots is exceeded for PROBE_US in each PROBE_INTERVAL_US, by
 * another quarter of it, so that a server that has recovered shows it within 2 s. */
#define PROBE_INTERVAL_US DP_US_PER_S
#define PROBE_US (150 * DP_US_PER_MS)
/* Under lasting load all requests meet about the same number of others, which shows
 * nothing about the server at lower numbers. If requests have become slower by DIP_LOG,
 * 57%, since LOW_SHARE of the limit was last in work, or if that has never been the case,
 * only DIP_SHARE of the limit is offered until DIP_SAMPLES more requests have shown it,
 * for a time within the bounds, and at most once per DIP_INTERVAL_US. */
#define LOW_SHARE 0.75
#define DIP_LOG 0.45
#define DIP_SHARE 0.6
#define DIP_SAMPLES 8
#define DIP_MIN_US (150 * DP_US_PER_MS)
#define DIP_MAX_US (600 * DP_US_PER_MS)
#define DIP_INTERVAL_US DP_US_PER_S
#define DIP_SAMPLES_MIN 24.0
/* Samples after which the newest time at a low number has a fixed weight in its mean. */
#define LOW_SAMPLES 32
#define LOW_SAMPLES_MIN 8
/* Weight, in samples, of the times at a low number when the limit is to be raised. */
#define LOW_WEIGHT 16.0
/* Time after which a refusal no longer bounds the limit. The server's capacity may have
 * changed, and each further refusal costs one SYN a visit to another member. */
#define REFUSAL_US (10 * DP_US_PER_S)

/* Shapes of the service time as a function of the requests in work. Beyond the knee it
 * grows like this power of them: 1 if the throughput stays, 2 if it falls. */
static const double knee_powers_[] = { 1.0, 2.0 };
/* Without a knee it grows like one of these powers. Up to the square root, more requests
 * bring more throughput than they cost in time. */
static const double smooth_powers_[] = { 0.0, 0.25, 0.5 };

/* Weighted sum of samples. */
typedef struct
{
  double weight;
  double sum;
} Samples;

typedef struct
{
  Samples recent; /* logarithms of times in us */
  double usual;   /* logarithm of the usual time in us */
  double usual_weight;
  double low;      /* logarithm of the time in us while few requests were in work */
  guint n_low;     /* samples in that mean, LOW_SAMPLES at most */
  guint n_new_low; /* samples since the last dip began */
} Class;

struct _DpConcurrencyLimit
{
  Class classes[DP_N_TRAFFIC_CLASSES];
  Samples levels[LEVELS_MAX + 1]; /* logarithms of times relative to the usual ones */
  double level_logs[LEVELS_MAX + 1];
  guint declared;
  guint step;          /* requests per level */
  guint limit;         /* in levels */
  guint top_used;      /* highest level that has samples */
  guint n_work;        /* requests in work */
  gint64 request_time; /* us, sum of the times of all requests in work until changed_at */
  gint64 changed_at;   /* us */
  gint64 warm_at;      /* us */
  gint64 updated_at;   /* us */
  gint64 handshake_time; /* us */
  gint64 refused_at;     /* us */
  guint refused_with;    /* flows in flight at the last refusal; 0: none */
  gboolean probing;
  gint64 dip_ends_at; /* us */
};

static void advance_ (DpConcurrencyLimit *limit, gint64 now);
static void set_level_limit_ (DpConcurrencyLimit *limit, guint level);
static guint top_level_ (const DpConcurrencyLimit *limit);
static void
observe_ (DpConcurrencyLimit *limit, DpTrafficClass class, gint64 time, double level);
static void decay_ (DpConcurrencyLimit *limit, gint64 now);
static void scale_ (Samples *samples, double factor);
static double error_of_ (const DpConcurrencyLimit *limit,
                         const Samples *levels,
                         double power,
                         guint knee);
static double
knee_error_ (const DpConcurrencyLimit *limit, const Samples *levels, guint knee);
static double smooth_error_ (const DpConcurrencyLimit *limit);
static guint best_limit_ (const DpConcurrencyLimit *limit);
static gboolean is_lowered_ (const DpConcurrencyLimit *limit);
static guint best_between_ (const DpConcurrencyLimit *limit,
                            const Samples *levels,
                            guint from,
                            guint to);
static void add_low_level_ (const DpConcurrencyLimit *limit, Samples *levels);
static double mean_service_time_ (const DpConcurrencyLimit *limit);
static void update_dip_ (DpConcurrencyLimit *limit, gint64 now);
static gboolean needs_dip_ (const DpConcurrencyLimit *limit);
static double mean_level_ (const DpConcurrencyLimit *limit);

/* Creates a limit of one slot. */
DpConcurrencyLimit *
dp_concurrency_limit_new (gint64 now)
{
  DpConcurrencyLimit *limit = g_new0 (DpConcurrencyLimit, 1);

  for (guint i = 1; i <= LEVELS_MAX; i++)
    limit->level_logs[i] = log (i);
  limit->changed_at = now;
  limit->updated_at = now;
  limit->step = 1;
  dp_concurrency_limit_set_declared (limit, 1);
  return limit;
}

void
dp_concurrency_limit_free (DpConcurrencyLimit *limit)
{
  g_free (limit);
}

/* Sets the declared slots. A number other than before starts the learning anew. */
void
dp_concurrency_limit_set_declared (DpConcurrencyLimit *limit, guint slots)
{
  slots = MAX (slots, 1);
  if (slots == limit->declared)
    return;
  limit->declared = slots;
  limit->step = MAX (
      (slots * DP_CONCURRENCY_LIMIT_FACTOR_MAX + LEVELS_MAX - 1) / LEVELS_MAX, 1);
  memset (limit->levels, 0, sizeof limit->levels);
  limit->top_used = 0;
  set_level_limit_ (limit, (slots + limit->step - 1) / limit->step);
}

void
dp_concurrency_limit_set_warm_at (DpConcurrencyLimit *limit, gint64 warm_at)
{
  limit->warm_at = warm_at;
}

/* Forgets all observations. Requests in work are to be abandoned by the caller. */
void
dp_concurrency_limit_reset (DpConcurrencyLimit *limit)
{
  const guint slots = limit->declared;

  memset (limit->classes, 0, sizeof limit->classes);
  limit->refused_with = 0;
  limit->declared = 0;
  dp_concurrency_limit_set_declared (limit, slots);
}

/* Records the begin of a request. */
void
dp_concurrency_limit_begin (DpConcurrencyLimit *limit, DpRequestWork *work, gint64 now)
{
  advance_ (limit, now);
  limit->n_work++;
  work->began_at = now;
  work->request_time = limit->request_time;
}

/* Records the end of a request. Its time counts for the mean number of requests that were
 * in work meanwhile. */
void
dp_concurrency_limit_end (DpConcurrencyLimit *limit,
                          DpRequestWork *work,
                          DpTrafficClass class,
                          gint64 now)
{
  const gint64 began_at = work->began_at;
  const gint64 time = MAX (now - began_at, 1);
  double level;

  advance_ (limit, now);
  level = (double) (limit->request_time - work->request_time) / (double) time
          / limit->step;
  dp_concurrency_limit_abandon (limit, work);
  if (began_at >= limit->warm_at)
    observe_ (limit, class, time, MAX (level, 1.0));
}

/* The request counts as ended at the last change of the requests in work. */
void
dp_concurrency_limit_abandon (DpConcurrencyLimit *limit, DpRequestWork *work)
{
  if (work->began_at == 0)
    return;
  limit->n_work -= limit->n_work > 0 ? 1 : 0;
  work->began_at = 0;
}

/* Records a refusal. Until REFUSAL_US have passed, no more flows are offered than the
 * server had when it refused one. */
void
dp_concurrency_limit_refused (DpConcurrencyLimit *limit, guint in_flight, gint64 now)
{
  limit->refused_with = MAX (in_flight, 1);
  limit->refused_at = now;
  set_level_limit_ (limit, MIN (limit->limit, top_level_ (limit)));
}

/* Lets older observations fade, and moves the limit if another one fits the recent ones
 * clearly better. Without recent requests nothing is learnt, and the limit stays. */
gboolean
dp_concurrency_limit_update (DpConcurrencyLimit *limit, gint64 handshake_time, gint64 now)
{
  const guint before = limit->limit;
  guint wanted;
  guint step;

  limit->handshake_time = handshake_time;
  if (limit->refused_with != 0 && now - limit->refused_at > REFUSAL_US)
    limit->refused_with = 0;
  decay_ (limit, now);
  update_dip_ (limit, now);
  limit->probing = is_lowered_ (limit) && now % PROBE_INTERVAL_US < PROBE_US;
  wanted = best_limit_ (limit);
  step = MAX ((guint) (before * STEP_SHARE), 1);
  set_level_limit_ (limit,
                    CLAMP (wanted, before > step ? before - step : 1, before + step));
  return limit->limit != before;
}

guint
dp_concurrency_limit_slots (const DpConcurrencyLimit *limit)
{
  guint slots = limit->limit * limit->step;

  /* A level stands for the numbers of requests around it; the declared slots are exact.
   */
  if (slots >= limit->declared && slots < limit->declared + limit->step)
    return limit->declared;
  return slots;
}

/* The excess beyond a lowered limit covers the handshakes only, since each further
 * request makes all of them slower. */
guint
dp_concurrency_limit_capacity (const DpConcurrencyLimit *limit)
{
  const guint slots = dp_concurrency_limit_slots (limit);
  const double work = mean_service_time_ (limit);
  guint excess = EXCESS_MAX;

  if (limit->updated_at < limit->dip_ends_at)
    return MAX (MIN ((guint) ceil (slots * DIP_SHARE), slots - 1), 1);
  if (slots < limit->declared && work > 0)
    excess = MIN ((guint) ceil (slots * (double) limit->handshake_time / work),
                  EXCESS_MAX);
  if (limit->probing)
    excess += MAX ((guint) (slots * STEP_SHARE), 1);
  if (limit->refused_with != 0)
    return MAX (MIN (slots + excess, limit->refused_with), 1);
  return slots + excess;
}

guint
dp_concurrency_limit_in_work (const DpConcurrencyLimit *limit)
{
  return limit->n_work;
}

/* Returns the geometric mean of recent service times, which a long tail moves little. The
 * time at a number of requests above the limit counts as the time at the limit. */
guint32
dp_concurrency_limit_service_time (const DpConcurrencyLimit *limit, DpTrafficClass class)
{
  const Class *c = &limit->classes[class];
  double mean;

  if (c->usual_weight < USUAL_SAMPLES_MIN / 2.0)
    return 0;
  mean = (c->recent.sum + USUAL_WEIGHT * c->usual) / (c->recent.weight + USUAL_WEIGHT);
  return (guint32) CLAMP (exp (mean), 1.0, (double) G_MAXUINT32);
}

double
dp_concurrency_limit_slowdown (const DpConcurrencyLimit *limit)
{
  Samples all = { 0 };
  Samples low = { 0 };

  for (guint i = 1; i <= LEVELS_MAX; i++)
    {
      all.weight += limit->levels[i].weight;
      all.sum += limit->levels[i].sum;
      if (i > limit->limit)
        continue;
      low.weight += limit->levels[i].weight;
      low.sum += limit->levels[i].sum;
    }
  if (all.weight < 1.0 || low.weight < 1.0)
    return 1.0;
  return exp (all.sum / all.weight - low.sum / low.weight);
}

/* Adds the time since the last change to the total time of the requests in work. */
static void
advance_ (DpConcurrencyLimit *limit, gint64 now)
{
  limit->request_time += (gint64) limit->n_work * (now - limit->changed_at);
  limit->changed_at = now;
}

static void
set_level_limit_ (DpConcurrencyLimit *limit, guint level)
{
  limit->limit = CLAMP (level, 1, top_level_ (limit));
}

/* Returns the highest level that the limit may have. */
static guint
top_level_ (const DpConcurrencyLimit *limit)
{
  guint top = limit->declared * DP_CONCURRENCY_LIMIT_FACTOR_MAX / limit->step;

  if (limit->refused_with != 0)
    top = MIN (top, limit->refused_with / limit->step);
  return CLAMP (top, 1, LEVELS_MAX);
}

static void
observe_ (DpConcurrencyLimit *limit, DpTrafficClass class, gint64 time, double level)
{
  Class *c = &limit->classes[class];
  const double value = log ((double) time);
  const double expected = log (MAX (level / limit->limit, 1.0));
  const guint index = (guint) (level + 0.5);
  Samples *samples = index <= LEVELS_MAX ? &limit->levels[index] : NULL;

  if (c->usual_weight >= USUAL_SAMPLES_MIN && samples != NULL)
    {
      samples->sum += CLAMP (value - c->usual, -LOG_RATIO_MAX, LOG_RATIO_MAX);
      samples->weight++;
      limit->top_used = MAX (limit->top_used, index);
    }
  if (level <= limit->limit * LOW_SHARE)
    {
      c->n_low = MIN (c->n_low + 1, LOW_SAMPLES);
      c->n_new_low++;
      c->low += (value - c->low) / c->n_low;
    }
  c->recent.sum += value - expected;
  c->recent.weight++;
  c->usual_weight++;
  c->usual += (value - expected - c->usual) / c->usual_weight;
}

static void
decay_ (DpConcurrencyLimit *limit, gint64 now)
{
  const double time = (double) MAX (now - limit->updated_at, 0);
  const double recent = exp (-time / RECENT_US);
  const double usual = exp (-time / USUAL_US);
  double weight = 0.0;
  const guint n = limit->top_used;

  limit->updated_at = now;
  for (guint i = 1; i <= n; i++)
    {
      scale_ (&limit->levels[i], recent);
      weight += limit->levels[i].weight;
    }
  while (limit->top_used > 0 && limit->levels[limit->top_used].weight < WEIGHT_MIN)
    limit->levels[limit->top_used--] = (Samples){ 0 };
  for (guint i = 1; weight > LEVEL_SAMPLES && i <= n; i++)
    scale_ (&limit->levels[i], LEVEL_SAMPLES / weight);
  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    {
      Class *c = &limit->classes[i];

      scale_ (&c->recent, recent);
      if (c->recent.weight > RECENT_SAMPLES)
        scale_ (&c->recent, RECENT_SAMPLES / c->recent.weight);
      /* A class without requests keeps its usual time. */
      c->usual_weight = MAX (c->usual_weight * usual,
                             MIN (c->usual_weight, USUAL_SAMPLES_MIN));
    }
}

static void
scale_ (Samples *samples, double factor)
{
  samples->weight *= factor;
  samples->sum *= factor;
}

/* Returns the squared error, in variances, of service times that are even up to the knee
 * and grow like the power of the requests in work beyond it. The server's speed is
 * fitted, so that a server that is slow at all levels has no knee. */
static double
error_of_ (const DpConcurrencyLimit *limit,
           const Samples *levels,
           double power,
           guint knee)
{
  double weight = 0.0;
  double sum = 0.0;
  double squares = 0.0;
  const guint n = MAX (limit->top_used, limit->limit);

  for (guint i = 1; i <= n; i++)
    {
      const Samples *s = &levels[i];
      double difference;

      if (s->weight < WEIGHT_MIN)
        continue;
      difference = s->sum / s->weight;
      if (i > knee)
        difference -= power * (limit->level_logs[i] - limit->level_logs[knee]);
      weight += s->weight;
      sum += s->weight * difference;
      squares += s->weight * difference * difference;
    }
  return weight > 0.0 ? MAX (squares - sum * sum / weight, 0.0) / LOG_VARIANCE : 0.0;
}

static double
knee_error_ (const DpConcurrencyLimit *limit, const Samples *levels, guint knee)
{
  double error = G_MAXDOUBLE;

  for (guint i = 0; i < G_N_ELEMENTS (knee_powers_); i++)
    error = MIN (error, error_of_ (limit, levels, knee_powers_[i], knee));
  return error;
}

/* Returns the error of service times that have no knee. */
static double
smooth_error_ (const DpConcurrencyLimit *limit)
{
  double error = G_MAXDOUBLE;

  for (guint i = 0; i < G_N_ELEMENTS (smooth_powers_); i++)
    error = MIN (error, error_of_ (limit, limit->levels, smooth_powers_[i], 1));
  return error;
}

/* Returns the limit that fits the recent observations best, if it does so clearly better
 * than the present one. */
static guint
best_limit_ (const DpConcurrencyLimit *limit)
{
  const double evidence = is_lowered_ (limit) || needs_dip_ (limit)
                              ? EVIDENCE_WHEN_EXPECTED
                              : EVIDENCE;
  double present = MIN (knee_error_ (limit, limit->levels, limit->limit),
                        smooth_error_ (limit));
  Samples levels[LEVELS_MAX + 1];
  guint best;

  /* An error can't improve by more than itself. */
  if (present > evidence)
    {
      best = best_between_ (limit, limit->levels, 1, limit->limit);
      if (present - knee_error_ (limit, limit->levels, best) > evidence)
        return best;
    }
  memcpy (levels, limit->levels, sizeof levels);
  add_low_level_ (limit, levels);
  present = knee_error_ (limit, levels, limit->limit);
  if (present > evidence)
    {
      best = best_between_ (limit, levels, limit->limit, top_level_ (limit));
      if (present - knee_error_ (limit, levels, best) > evidence)
        return best;
    }
  return limit->limit;
}

static gboolean
is_lowered_ (const DpConcurrencyLimit *limit)
{
  return limit->limit * limit->step < limit->declared;
}

/* Returns the limit within the bounds that fits best. */
static guint
best_between_ (const DpConcurrencyLimit *limit,
               const Samples *levels,
               guint from,
               guint to)
{
  double best_error = G_MAXDOUBLE;
  guint best = limit->limit;

  for (guint level = from; level <= to; level++)
    {
      const guint distance = level > limit->limit ? level - limit->limit
                                                  : limit->limit - level;
      const double error = knee_error_ (limit, levels, level) + DISTANCE_COST * distance;

      if (error >= best_error)
        continue;
      best = level;
      best_error = error;
    }
  return best;
}

/* Adds the last times at a low number of requests. If requests beyond a lowered limit
 * have become as fast as those, the server has recovered. A limit isn't lowered for that
 * reason, since the whole server may have become slow meanwhile. */
static void
add_low_level_ (const DpConcurrencyLimit *limit, Samples *levels)
{
  const guint index = MAX ((guint) (limit->limit * LOW_SHARE), 1);
  double weight = 0.0;
  double sum = 0.0;

  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    {
      const Class *c = &limit->classes[i];

      if (c->n_low < LOW_SAMPLES_MIN)
        continue;
      weight += c->recent.weight;
      sum += c->recent.weight * (c->low - c->usual);
    }
  if (weight < 1.0 || levels[index].weight >= LOW_WEIGHT)
    return;
  levels[index].sum += (LOW_WEIGHT - levels[index].weight) * sum / weight;
  levels[index].weight = LOW_WEIGHT;
}

/* Returns the mean service time of the recent requests, in us; 0 if there were none. */
static double
mean_service_time_ (const DpConcurrencyLimit *limit)
{
  Samples all = { 0 };

  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    {
      all.weight += limit->classes[i].recent.weight;
      all.sum += limit->classes[i].recent.sum;
    }
  return all.weight > 0.1 ? exp (all.sum / all.weight) : 0.0;
}

/* Starts or ends to offer fewer flows, as the times at lower numbers of requests are to
 * be seen.
 */
static void
update_dip_ (DpConcurrencyLimit *limit, gint64 now)
{
  guint n_low = 0;

  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    n_low += limit->classes[i].n_new_low;
  if (now < limit->dip_ends_at && n_low >= DIP_SAMPLES
      && now >= limit->dip_ends_at - DIP_MAX_US + DIP_MIN_US)
    limit->dip_ends_at = now;
  if (limit->limit < 2 || now < limit->dip_ends_at + DIP_INTERVAL_US
      || !needs_dip_ (limit))
    return;
  limit->dip_ends_at = now + DIP_MAX_US;
  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    {
      limit->classes[i].n_low = MIN (limit->classes[i].n_low, LOW_SAMPLES_MIN);
      limit->classes[i].n_new_low = 0;
    }
}

static gboolean
needs_dip_ (const DpConcurrencyLimit *limit)
{
  double weight = 0.0;
  double sum = 0.0;
  gboolean unknown = TRUE;

  if (mean_level_ (limit) < limit->limit * LOW_SHARE)
    return FALSE;
  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    {
      const Class *c = &limit->classes[i];

      weight += c->recent.weight;
      if (c->n_low < LOW_SAMPLES_MIN || c->recent.weight < 1.0)
        continue;
      unknown = FALSE;
      sum += c->recent.sum - c->recent.weight * c->low;
    }
  return weight >= DIP_SAMPLES_MIN && (unknown || sum / weight > DIP_LOG);
}

/* Returns the mean level at which the recent requests were served; 0 if there were none.
 */
static double
mean_level_ (const DpConcurrencyLimit *limit)
{
  double weight = 0.0;
  double sum = 0.0;

  for (guint i = 1; i <= limit->top_used; i++)
    {
      weight += limit->levels[i].weight;
      sum += limit->levels[i].weight * i;
    }
  return weight >= 1.0 ? sum / weight : 0.0;
}
