// Compares scheduling policies with an ideal central queue in virtual time.
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "CLI/CLI.hpp"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "baseline_schedulers.h"
#include "driver.h"
#include "ideal.h"
#include "radishrail/policy_scheduler.h"
#include "workload.h"

namespace radishrail::benchmark {
namespace {

struct Options {
  std::string deployment = "cascade";
  std::string policy = "all";
  std::string allowance = "lending";
  uint64_t seed = 1;
  double seconds = 120;
  int lending_ms = 20;
  int daemons = 0;
  bool unequal_shares = false;
  std::string spill = "fastest";
  int fair_backlog_ms = 0;  // 0: the default
  double aging = 0;         // 0: the default
  double start_factor = 0;  // 0: the default
  bool check = false;
  bool allow_known_missed = false;
};

enum class Row {
  kP50At70,
  kP99At70,
  kP99At90,
  kWastedAt70,
  kWastedAt90,
  kInTimeAt200,
  kGoodputAt300,
  kShortP99WithLong,
  kMaxValue = kShortP99WithLong,
};

struct RowInfo {
  const char* name;
  double target;
  bool at_most;
};

constexpr RowInfo kRows[] = {
    {"70% load: response p50 / ideal", 1.05, true},
    {"70% load: response p99 / ideal", 1.5, true},
    {"90% load: response p99 / ideal", 2.0, true},
    {"70% load: wasted messages, %", 5.0, true},
    {"90% load: wasted messages, %", 5.0, true},
    {"200% load: jobs in time / achievable", 0.95, false},
    {"300% load: goodput / goodput at 200%", 1.0, false},
    {"short jobs: p99 with long / without", 1.3, true},
};
constexpr size_t kRowCount = static_cast<size_t>(Row::kMaxValue) + 1;

struct RunResult {
  std::vector<double> responses;
  DriverResult driver;  // empty for the ideal
};

// Figures of one policy: `rows` have targets, the others have none.
struct Report {
  double rows[kRowCount] = {};
  double messages_per_task = 0;
  double cross_domain_share = 0;
  double domains_per_job = 0;
  double p50_at_90 = 0;
  double in_time_at_300 = 0;
};

// A job that was not run counts with a response time of 1e9 s and so ranks
// last.
double Percentile(const Workload& workload,
                  const std::vector<double>& responses,
                  double rank,
                  bool short_only) {
  std::vector<double> list;
  for (size_t i = 0; i < responses.size(); ++i) {
    if (!short_only || workload.jobs[i].is_short) {
      list.push_back(responses[i] < 0 ? 1e9 : responses[i]);
    }
  }
  std::sort(list.begin(), list.end());
  return list[static_cast<size_t>(rank * static_cast<double>(list.size() - 1))];
}

double CountInTime(const Workload& workload,
                   const std::vector<double>& responses) {
  double n = 0;
  for (size_t i = 0; i < responses.size(); ++i) {
    const double promised =
        static_cast<double>(workload.jobs[i].promised) / kSecond;
    n += responses[i] >= 0 && responses[i] <= promised ? 1 : 0;
  }
  return n;
}

class PolicyBenchmark {
 public:
  PolicyBenchmark(const Options& options, const Deployment& deployment)
      : options_(options), deployment_(deployment) {
    // The promised response time is long where response times are compared, so
    // that no policy gains by refusing jobs.
    constexpr Nanos kNoPromise = 560 * kSecond;
    at70_ =
        Make({.load = 0.7, .seconds = options.seconds, .promised = kNoPromise});
    at70_short_ = Make({.load = 0.7,
                        .long_jobs = false,
                        .seconds = options.seconds,
                        .promised = kNoPromise});
    at90_ =
        Make({.load = 0.9, .seconds = options.seconds, .promised = kNoPromise});
    at200_ = Make(
        {.load = 2, .alternating_load = false, .seconds = options.seconds / 3});
    at300_ = Make(
        {.load = 3, .alternating_load = false, .seconds = options.seconds / 3});
  }

  Report Run(const std::string& policy) {
    const RunResult at70 = RunPolicy(policy, at70_);
    const RunResult at70_short = RunPolicy(policy, at70_short_);
    const RunResult at90 = RunPolicy(policy, at90_);
    const RunResult at200 = RunPolicy(policy, at200_);
    const RunResult at300 = RunPolicy(policy, at300_);
    if (policy == "ideal") {
      ideal70_ = at70.responses;
      ideal90_ = at90.responses;
      ideal200_ = at200.responses;
      ideal300_ = at300.responses;
    }
    Report report;
    const auto set = [&report](Row row, double value) {
      report.rows[static_cast<size_t>(row)] = value;
    };
    const auto ratio = [](const Workload& workload, const RunResult& measured,
                          const std::vector<double>& ideal, double rank) {
      return Percentile(workload, measured.responses, rank, false) /
             Percentile(workload, ideal, rank, false);
    };
    set(Row::kP50At70, ratio(at70_, at70, ideal70_, 0.5));
    set(Row::kP99At70, ratio(at70_, at70, ideal70_, 0.99));
    set(Row::kP99At90, ratio(at90_, at90, ideal90_, 0.99));
    report.p50_at_90 = ratio(at90_, at90, ideal90_, 0.5);
    set(Row::kWastedAt70, WastedPercent(at70.driver));
    set(Row::kWastedAt90, WastedPercent(at90.driver));
    const double in_time_200 = CountInTime(at200_, at200.responses);
    const double in_time_300 = CountInTime(at300_, at300.responses);
    set(Row::kInTimeAt200, in_time_200 / CountInTime(at200_, ideal200_));
    report.in_time_at_300 = in_time_300 / CountInTime(at300_, ideal300_);
    set(Row::kGoodputAt300, in_time_300 / in_time_200);
    set(Row::kShortP99WithLong,
        Percentile(at70_, at70.responses, 0.99, true) /
            Percentile(at70_short_, at70_short.responses, 0.99, true));
    if (at70.driver.started_tasks > 0) {
      const auto tasks = static_cast<double>(at70.driver.started_tasks);
      report.messages_per_task =
          static_cast<double>(at70.driver.task_messages +
                              at70.driver.control_messages) /
          tasks;
      report.cross_domain_share =
          static_cast<double>(at70.driver.cross_domain_tasks) / tasks;
      report.domains_per_job = static_cast<double>(at70.driver.domains_used) /
                               static_cast<double>(at70.driver.completed);
    }
    return report;
  }

 private:
  Workload Make(Scenario scenario) {
    scenario.unequal_shares = options_.unequal_shares;
    return WorkloadGenerator(deployment_, scenario, options_.seed * 1000)
        .Generate();
  }

  std::unique_ptr<Allowance> MakeAllowance(const std::string& policy) const {
    // The baselines keep a queue per upstream, which requires that a daemon
    // owns slots on the upstream.
    if (policy != "radishrail" || options_.allowance == "static") {
      return std::make_unique<StaticAllowance>();
    }
    if (options_.allowance == "unlimited") {
      return std::make_unique<UnlimitedAllowance>();
    }
    return std::make_unique<LendingAllowance>(options_.lending_ms *
                                              kMillisecond);
  }

  std::unique_ptr<Scheduler> MakeScheduler(const std::string& policy,
                                           const Clock& clock,
                                           int daemon) const {
    if (policy == "radishrail") {
      PolicySchedulerSettings settings;
      settings.spill = options_.spill == "fastest" ? SpillPolicy::kFastest
                       : options_.spill == "home"  ? SpillPolicy::kHomeFirst
                                                  : SpillPolicy::kFewestDomains;
      if (options_.fair_backlog_ms > 0) {
        settings.fair_share_backlog =
            absl::Milliseconds(options_.fair_backlog_ms);
      }
      if (options_.aging > 0) {
        settings.aging = options_.aging;
      }
      if (options_.start_factor > 0) {
        settings.start_factor = options_.start_factor;
      }
      return std::make_unique<PolicyScheduler>(clock, settings);
    }
    const BaselineChoice choice = policy == "random" ? BaselineChoice::kRandom
                                  : policy == "round_robin"
                                      ? BaselineChoice::kRoundRobin
                                      : BaselineChoice::kPowerOfTwo;
    return std::make_unique<BaselineScheduler>(choice, daemon + 1);
  }

  RunResult RunPolicy(const std::string& policy, const Workload& workload) {
    RunResult measured;
    if (policy == "ideal") {
      measured.responses = IdealQueue(workload).Run();
      return measured;
    }
    const auto allowance = MakeAllowance(policy);
    Driver driver(
        deployment_, workload,
        [&](const Clock& clock, int daemon) {
          return MakeScheduler(policy, clock, daemon);
        },
        *allowance);
    measured.driver = driver.Run();
    measured.responses = measured.driver.responses;
    return measured;
  }

  static double WastedPercent(const DriverResult& result) {
    const auto all =
        static_cast<double>(result.task_messages + result.control_messages);
    return all > 0 ? 100 * static_cast<double>(result.wasted_messages) / all
                   : 0;
  }

  const Options& options_;
  const Deployment& deployment_;
  Workload at70_, at70_short_, at90_, at200_, at300_;
  std::vector<double> ideal70_, ideal90_, ideal200_, ideal300_;
};

bool Meets(const RowInfo& row, double value) {
  // The tolerance is half a unit of the last printed digit.
  return row.at_most ? value <= row.target + 0.0005
                     : value >= row.target - 0.0005;
}

void PrintReport(const Options& options,
                 const std::vector<std::string>& policies,
                 const std::vector<Report>& reports) {
  absl::PrintF("deployment %s, seed %d, allowance %s, %g s\n",
               options.deployment, options.seed, options.allowance,
               options.seconds);
  absl::PrintF("%-40s %8s", "measure", "target");
  for (const auto& it : policies) {
    absl::PrintF(" %12s", it);
  }
  absl::PrintF("\n");
  for (size_t i = 0; i < kRowCount; ++i) {
    absl::PrintF(
        "%-40s %8s", kRows[i].name,
        absl::StrCat(kRows[i].at_most ? "<= " : ">= ", kRows[i].target));
    for (size_t n = 0; n < policies.size(); ++n) {
      absl::PrintF(" %12.3f", reports[n].rows[i]);
    }
    absl::PrintF("\n");
  }
  const auto extra = [&](const char* name,
                         const std::function<double(const Report&)>& value) {
    absl::PrintF("%-40s %8s", name, "");
    for (size_t n = 0; n < policies.size(); ++n) {
      absl::PrintF(" %12.3f", value(reports[n]));
    }
    absl::PrintF("\n");
  };
  extra("90% load: response p50 / ideal",
        [](const Report& it) { return it.p50_at_90; });
  extra("300% load: jobs in time / achievable",
        [](const Report& it) { return it.in_time_at_300; });
  extra("70% load: messages per task",
        [](const Report& it) { return it.messages_per_task; });
  extra("70% load: tasks in other domains",
        [](const Report& it) { return it.cross_domain_share; });
  extra("70% load: domains per job",
        [](const Report& it) { return it.domains_per_job; });
}

// Prints which targets are met; returns false if a target that is not in
// `known_missed` is missed.
bool CheckReport(const Report& report, const std::vector<Row>& known_missed) {
  bool ok = true;
  for (size_t i = 0; i < kRowCount; ++i) {
    const bool met = Meets(kRows[i], report.rows[i]);
    bool known = false;
    for (const Row it : known_missed) {
      known = known || static_cast<size_t>(it) == i;
    }
    absl::PrintF("%s: %s (%.3f)\n",
                 met     ? "met"
                 : known ? "missed, known"
                         : "MISSED",
                 kRows[i].name, report.rows[i]);
    ok = ok && (met || known);
  }
  return ok;
}

int Main(int argc, char** argv) {
  Options options;
  CLI::App app{"Compares scheduling policies with an ideal central queue."};
  app.add_option("--deployment", options.deployment, "cascade or valdivia")
      ->check(CLI::IsMember({"cascade", "valdivia"}));
  app.add_option("--policy", options.policy,
                 "all, radishrail, random, round_robin or power_of_two")
      ->check(CLI::IsMember(
          {"all", "radishrail", "random", "round_robin", "power_of_two"}));
  app.add_option("--allowance", options.allowance,
                 "static, unlimited or lending")
      ->check(CLI::IsMember({"static", "unlimited", "lending"}));
  app.add_option("--seed", options.seed, "seed of the workload");
  app.add_option("--seconds", options.seconds, "virtual length of a run");
  app.add_option("--lending-ms", options.lending_ms, "interval of lending");
  app.add_option("--daemons", options.daemons,
                 "number of daemons of equal size instead of the deployment's");
  app.add_flag("--unequal-shares", options.unequal_shares,
               "shares of teams that do not match their demand");
  app.add_option("--spill", options.spill, "fastest, home or fewest")
      ->check(CLI::IsMember({"fastest", "home", "fewest"}));
  app.add_option("--fair-backlog-ms", options.fair_backlog_ms,
                 "backlog per slot above which shares apply");
  app.add_option("--aging", options.aging,
                 "slot-seconds that a second of waiting outweighs");
  app.add_option("--start-factor", options.start_factor,
                 "time from its start that a job needs, see the settings");
  app.add_flag("--check", options.check,
               "fail if a target of docs/design.md is missed");
  app.add_flag("--allow-known-missed", options.allow_known_missed,
               "with --check: tolerate p50 at 70% load, see KNOWN-RED.txt");
  CLI11_PARSE(app, argc, argv);

  Deployment deployment;
  for (const auto& it : Deployments()) {
    if (it.name == options.deployment) {
      deployment = it;
    }
  }
  if (options.daemons > 0) {
    deployment.daemon_weights.assign(options.daemons, 1);
  }
  std::vector<std::string> policies = {"ideal"};
  if (options.policy == "all") {
    for (const char* it :
         {"radishrail", "random", "round_robin", "power_of_two"}) {
      policies.emplace_back(it);
    }
  } else {
    policies.push_back(options.policy);
  }
  PolicyBenchmark benchmark(options, deployment);
  std::vector<Report> reports;
  reports.reserve(policies.size());
  for (const auto& it : policies) {
    reports.push_back(benchmark.Run(it));
  }
  PrintReport(options, policies, reports);
  if (options.check) {
    std::vector<Row> known_missed;
    if (options.allow_known_missed) {
      known_missed = {Row::kP50At70};
    }
    return CheckReport(reports[1], known_missed) ? 0 : 1;
  }
  return 0;
}

}  // namespace
}  // namespace radishrail::benchmark

int main(int argc, char** argv) {
  return radishrail::benchmark::Main(argc, argv);
}
