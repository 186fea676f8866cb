#ifndef RADISHRAIL_SRC_JOB_METRICS_H_
#define RADISHRAIL_SRC_JOB_METRICS_H_

#include "radishrail/metrics.h"

namespace radishrail::internal {

// Metrics of the job table.
struct JobMetrics {
  explicit JobMetrics(Metrics& metrics)
      : accepted(
            metrics.counter("radishrail_jobs_accepted_total", "Jobs accepted")),
        refused(metrics.counter("radishrail_jobs_refused_total",
                                "Jobs refused before or after admission")),
        refused_admitted(
            metrics.counter("radishrail_admitted_jobs_refused_total",
                            "Jobs refused after admission, before they "
                            "started")),
        joined(metrics.counter("radishrail_jobs_joined_total",
                               "Resubmissions of a remembered key")),
        conflicts(metrics.counter("radishrail_jobs_conflicts_total",
                                  "Keys used for another request")),
        cancelled(metrics.counter("radishrail_jobs_cancelled_total",
                                  "Jobs cancelled while in progress")),
        complete(metrics.counter("radishrail_jobs_complete_total",
                                 "Jobs answered complete")),
        failed(metrics.counter("radishrail_jobs_failed_total",
                               "Jobs answered failed")),
        not_run(metrics.counter("radishrail_jobs_not_run_total",
                                "Accepted jobs answered not_run")),
        handed_over(metrics.counter("radishrail_tasks_handed_over_total",
                                    "Tasks handed to upstreams")),
        not_started(metrics.counter("radishrail_tasks_not_started_total",
                                    "Hand-overs that did not start")),
        retries(metrics.counter("radishrail_tasks_retried_total",
                                "Tasks queued again")),
        retries_denied(metrics.counter("radishrail_task_retries_denied_total",
                                       "Retries refused by a budget")),
        dropped_results(metrics.counter("radishrail_task_results_dropped_total",
                                        "Late or duplicate results")),
        invalid_placements(
            metrics.counter("radishrail_placements_invalid_total",
                            "Placements of tasks that are not queued")),
        in_progress(metrics.gauge("radishrail_jobs_in_progress",
                                  "Jobs without a final status")),
        remembered(metrics.gauge("radishrail_keys_remembered",
                                 "Keys kept for resubmissions")),
        response_time(metrics.histogram("radishrail_job_response_seconds",
                                        "Acceptance to answer")),
        queue_time(
            metrics.histogram("radishrail_task_queued_seconds",
                              "Acceptance of the job to first hand-over")),
        run_time(metrics.histogram("radishrail_task_run_seconds",
                                   "Run time of completed tasks")),
        rack_near(metrics.counter("radishrail_tasks_on_preferred_rack_total",
                                  "Tasks placed on their preferred rack")),
        rack_far_by_choice(
            metrics.counter("radishrail_tasks_off_rack_by_choice_total",
                            "Tasks for which the wait for their preferred rack "
                            "did not pay")),
        rack_far_no_room(metrics.counter(
            "radishrail_tasks_off_rack_no_room_total",
            "Tasks whose preferred rack has no upstream that can run them")),
        rack_wait(metrics.histogram("radishrail_task_rack_wait_seconds",
                                    "Wait for room on the preferred rack")) {}
  Counter& accepted;
  Counter& refused;
  Counter& refused_admitted;
  Counter& joined;
  Counter& conflicts;
  Counter& cancelled;
  Counter& complete;
  Counter& failed;
  Counter& not_run;
  Counter& handed_over;
  Counter& not_started;
  Counter& retries;
  Counter& retries_denied;
  Counter& dropped_results;
  Counter& invalid_placements;
  Gauge& in_progress;
  Gauge& remembered;
  Histogram& response_time;
  Histogram& queue_time;
  Histogram& run_time;
  Counter& rack_near;
  Counter& rack_far_by_choice;
  Counter& rack_far_no_room;
  Histogram& rack_wait;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_JOB_METRICS_H_
