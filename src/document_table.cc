#include "document_table.h"

#include <algorithm>
#include <optional>

#include "absl/strings/str_cat.h"
#include "radishrail/log.h"

namespace radishrail::internal {

void DocumentTable::RaiseRevision(int64_t revision) {
  revision_ = std::max(revision_, revision);
}

void DocumentTable::Apply(const DocumentChange& change) {
  const std::optional<Stage> stage = StageFromName(change.stage);
  if (!stage.has_value() ||
      change.version <= Version(change.environment, *stage)) {
    return;
  }
  Entry& entry = environments_[change.environment][*stage];
  auto latest = std::make_shared<VersionedDocument>();
  latest->body = change.body;
  latest->version = change.version;
  latest->revision = change.revision;
  Error error;
  std::optional<EnvironmentDocument> document =
      ParseDocument(change.body, &error);
  if (document.has_value() && document->environment == change.environment) {
    latest->document = *std::move(document);
    entry.active = latest;
  } else {
    // A daemon of a newer release may accept fields that this one does not
    // support. The body is kept for peers, the last valid version stays active,
    // and the documents of other environments are not blocked.
    Log(LogLevel::kError, "document cannot be applied",
        {{"environment", change.environment},
         {"stage", change.stage},
         {"version", absl::StrCat(change.version)},
         {"detail", error.detail}});
  }
  entry.latest = latest;
  if (entry.active == latest && applied_function_) {
    applied_function_(*stage, *latest);
  }
}

const DocumentTable::Entry* DocumentTable::FindEntry(
    std::string_view environment,
    Stage stage) const {
  const auto stages = environments_.find(environment);
  if (stages == environments_.end()) {
    return nullptr;
  }
  const auto it = stages->second.find(stage);
  return it == stages->second.end() ? nullptr : &it->second;
}

int64_t DocumentTable::Version(const std::string& environment,
                               Stage stage) const {
  const Entry* entry = FindEntry(environment, stage);
  return entry == nullptr ? 0 : entry->latest->version;
}

const std::string* DocumentTable::FindBody(const std::string& environment,
                                           int64_t version) const {
  for (const Stage stage : {Stage::kTrial, Stage::kProduction}) {
    const Entry* entry = FindEntry(environment, stage);
    if (entry != nullptr && entry->latest->version == version) {
      return &entry->latest->body;
    }
  }
  return nullptr;
}

std::shared_ptr<const VersionedDocument> DocumentTable::Find(
    std::string_view environment,
    Stage stage) const {
  const Entry* entry = FindEntry(environment, stage);
  return entry == nullptr ? nullptr : entry->active;
}

std::vector<EnvironmentStatus> DocumentTable::List() const {
  std::vector<EnvironmentStatus> list;
  for (const auto& [environment, stages] : environments_) {
    EnvironmentStatus status;
    status.environment = environment;
    for (const auto& [stage, entry] : stages) {
      const int64_t version = entry.latest->version;
      (stage == Stage::kTrial ? status.trial_version
                              : status.production_version) = version;
      status.last_version = std::max(status.last_version, version);
      status.revision = std::max(status.revision, entry.latest->revision);
    }
    list.push_back(std::move(status));
  }
  return list;
}

std::vector<DocumentChange> DocumentTable::ChangesAfter(int64_t after) const {
  std::vector<DocumentChange> changes;
  for (const auto& [environment, stages] : environments_) {
    for (const auto& [stage, entry] : stages) {
      const VersionedDocument& latest = *entry.latest;
      if (latest.revision > after && latest.revision <= revision_) {
        changes.push_back({latest.revision, environment,
                           std::string(StageName(stage)), latest.version,
                           latest.body});
      }
    }
  }
  std::sort(changes.begin(), changes.end(),
            [](const DocumentChange& a, const DocumentChange& b) {
              return a.revision < b.revision;
            });
  return changes;
}

}  // namespace radishrail::internal
