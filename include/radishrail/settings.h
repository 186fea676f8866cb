#ifndef RADISHRAIL_SETTINGS_H_
#define RADISHRAIL_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "radishrail/admission_policy.h"
#include "radishrail/error.h"
#include "radishrail/log.h"

namespace radishrail {

// Settings of one daemon, read from an INI file.
struct Settings {
  // [daemon]
  std::string vm;                            // required
  std::string failure_domain;                // required
  std::vector<std::string> failure_domains;  // required, same on all daemons
  uint32_t weight = 1;
  uint32_t cpu_millicores = 1000;
  std::string caller_address = "127.0.0.1:7300";
  std::string operator_address = "127.0.0.1:7301";
  std::string peer_address = "127.0.0.1:7302";
  // Address at which peers connect, if it differs from `peer_address`.
  std::string advertised_peer_address;
  std::string ready_address = "127.0.0.1:7303";
  size_t memory_mb = 128;  // the smallest VMs have about this much
  int caller_threads = 4;
  int upstream_threads = 4;
  LogLevel log_level = LogLevel::kInfo;
  size_t timeline_events = 20000;

  // [platform]
  std::string platform_address = "127.0.0.1:7400";
  absl::Duration platform_timeout = absl::Seconds(2);
  absl::Duration vm_list_interval = absl::Seconds(1);

  // [peers]
  std::vector<std::string> seeds;
  std::string cluster_key;  // required

  // [operators]
  std::string operator_token;  // required

  // [lease]
  absl::Duration lease_length = absl::Seconds(10);
  absl::Duration lease_renew_interval = absl::Seconds(3);

  // [drain]
  absl::Duration drain_balancer_delay = absl::Seconds(2);
  absl::Duration drain_timeout = absl::Seconds(60);

  // [requests]
  size_t client_memory_mb = 0;  // 0: a share of `memory_mb`
  int socket_buffer_bytes = 16 * 1024;
  size_t max_body_bytes = 4 * 1024 * 1024;
  int max_connections = 4096;
  absl::Duration idle_timeout = absl::Seconds(10);

  // [scheduling]
  AdmissionPolicy admission = AdmissionPolicy::kQueuedWork;
  SharePolicy shares = SharePolicy::kBacklog;
  // Run time of a task off its preferred rack, in thousandths of that on it.
  uint32_t remote_run_thousandths = 1000;
};

// The address at which peers connect to the daemon.
inline const std::string& AdvertisedPeerAddress(const Settings& settings) {
  return settings.advertised_peer_address.empty()
             ? settings.peer_address
             : settings.advertised_peer_address;
}

// Reads a settings file. An error states the file, section, key, line and
// allowed values; unknown keys and sections are errors.
std::optional<Settings> LoadSettings(const std::string& path, Error* error);
std::optional<Settings> ParseSettings(std::string_view text,
                                      const std::string& name,
                                      Error* error);
// The keys whose values differ, as "[section] key".
std::vector<std::string> ChangedKeys(const Settings& before,
                                     const Settings& after);
// The effective settings in INI format, with secrets masked.
std::string RenderSettings(const Settings& settings);
// Markdown table of all keys: type, unit, range, default. Printed by
// `radishrail config reference`; docs/configuration.md contains it.
std::string SettingsReference();

}  // namespace radishrail

#endif  // RADISHRAIL_SETTINGS_H_
