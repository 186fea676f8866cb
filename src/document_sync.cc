#include "document_sync.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "document_rows.h"

namespace radishrail::internal {

namespace {

// Above this gap, and on a daemon without documents, one List of the
// environment rows is cheaper than a read of each log row.
constexpr int64_t kMaxLogGap = 64;
// Limits the reads that one daemon has in progress at the platform.
constexpr size_t kMaxParallelReads = 16;

Error InvalidRow(const std::string& key) {
  return {ErrorCode::kProtocol, Step::kPlatformRead, "platform",
          absl::StrCat("row ", key, " has an invalid value")};
}

}  // namespace

DocumentSync::DocumentSync(Store& store,
                           DocumentTable& table,
                           DoneFunction done)
    : store_(store), table_(table), done_(std::move(done)) {}

void DocumentSync::Start() {
  store_.Read(kHeadKey, [weak = weak_from_this()](std::optional<Row> row,
                                                  const Error& error) {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    if (!row.has_value()) {
      self->Finish(error);
      return;
    }
    const std::optional<int64_t> revision = DecodeHead(row->value);
    if (revision.has_value()) {
      self->OnHead(*revision);
    } else {
      self->Finish(InvalidRow(kHeadKey));
    }
  });
}

void DocumentSync::OnHead(int64_t revision) {
  head_revision_ = revision;
  if (table_.revision() >= head_revision_) {
    Finish({});
  } else if (table_.revision() == 0 ||
             head_revision_ - table_.revision() > kMaxLogGap) {
    ListEnvironments();
  } else {
    ReadLog();
  }
}

void DocumentSync::ReadLog() {
  const int64_t first = table_.revision() + 1;
  target_revision_ =
      std::min(head_revision_,
               table_.revision() + static_cast<int64_t>(kMaxParallelReads));
  changes_.assign(static_cast<size_t>(target_revision_ - first + 1), {});
  pending_reads_ = changes_.size();
  log_has_gap_ = false;
  for (size_t i = 0; i < changes_.size(); ++i) {
    const int64_t revision = first + static_cast<int64_t>(i);
    changes_[i].change.revision = revision;
    store_.Read(LogKey(revision),
                [weak = weak_from_this(), i](std::optional<Row> row,
                                             const Error& error) {
                  const auto self = weak.lock();
                  if (self == nullptr || self->finished_) {
                    return;
                  }
                  if (row.has_value()) {
                    self->OnLogRow(i, *row);
                  } else {
                    self->Finish(error);
                  }
                });
  }
}

void DocumentSync::OnLogRow(size_t index, const Row& row) {
  const std::optional<LogRow> log = DecodeLog(row.value);
  if (!log.has_value()) {
    Finish(InvalidRow(row.key));
    return;
  }
  // Version 0: the row is absent, since old log rows are deleted.
  log_has_gap_ |= row.version == 0;
  NewChange& entry = changes_[index];
  entry.change.environment = log->environment;
  entry.change.stage = std::string(StageName(log->stage));
  entry.change.version = log->version;
  entry.body_hash = log->body_hash;
  if (--pending_reads_ > 0) {
    return;
  }
  if (log_has_gap_) {
    ListEnvironments();
  } else {
    FetchBodies();
  }
}

void DocumentSync::ListEnvironments() {
  store_.List(kEnvironmentPrefix,
              [weak = weak_from_this()](std::optional<std::vector<Row>> rows,
                                        const Error& error) {
                const auto self = weak.lock();
                if (self == nullptr) {
                  return;
                }
                if (rows.has_value()) {
                  self->OnEnvironments(*rows);
                } else {
                  self->Finish(error);
                }
              });
}

// The rows were read after the head, so they contain all changes up to it.
void DocumentSync::OnEnvironments(const std::vector<Row>& rows) {
  changes_.clear();
  target_revision_ = head_revision_;
  for (const auto& row : rows) {
    const std::optional<EnvironmentRow> decoded = DecodeEnvironment(row.value);
    if (!decoded.has_value()) {
      Finish(InvalidRow(row.key));
      return;
    }
    const std::string environment =
        row.key.substr(std::string_view(kEnvironmentPrefix).size());
    for (const Stage stage : {Stage::kTrial, Stage::kProduction}) {
      const StageState& state =
          stage == Stage::kTrial ? decoded->trial : decoded->production;
      if (state.version > 0) {
        changes_.push_back({{state.revision,
                             environment,
                             std::string(StageName(stage)),
                             state.version,
                             {}},
                            state.body_hash});
      }
    }
  }
  std::sort(changes_.begin(), changes_.end(),
            [](const NewChange& a, const NewChange& b) {
              return a.change.revision < b.change.revision;
            });
  FetchBodies();
}

void DocumentSync::FetchBodies() {
  // Only the latest change of each stage is needed, and only if the table lacks
  // it.
  std::set<std::pair<std::string, std::string>> seen;
  std::vector<NewChange> needed;
  for (auto it = changes_.rbegin(); it != changes_.rend(); ++it) {
    const DocumentChange& change = it->change;
    const std::optional<Stage> stage = StageFromName(change.stage);
    if (stage.has_value() &&
        seen.emplace(change.environment, change.stage).second &&
        table_.Version(change.environment, *stage) < change.version) {
      needed.push_back(std::move(*it));
    }
  }
  std::reverse(needed.begin(), needed.end());
  changes_ = std::move(needed);
  next_fetch_ = 0;
  pending_reads_ = 0;
  ContinueFetch();
}

void DocumentSync::ContinueFetch() {
  while (next_fetch_ < changes_.size() && pending_reads_ < kMaxParallelReads) {
    const size_t i = next_fetch_++;
    DocumentChange& change = changes_[i].change;
    if (const std::string* body =
            table_.FindBody(change.environment, change.version)) {
      change.body = *body;
      continue;
    }
    ++pending_reads_;
    store_.GetObject(
        ObjectName(change.environment, change.version, changes_[i].body_hash),
        [weak = weak_from_this(), i](std::optional<std::string> body,
                                     const Error& error) {
          const auto self = weak.lock();
          if (self == nullptr || self->finished_) {
            return;
          }
          if (body.has_value()) {
            self->OnBody(i, *std::move(body));
          } else {
            self->Finish(error);
          }
        });
  }
  if (next_fetch_ == changes_.size() && pending_reads_ == 0) {
    Apply();
  }
}

void DocumentSync::OnBody(size_t index, std::string body) {
  NewChange& entry = changes_[index];
  if (BodyHash(body) != entry.body_hash) {
    Finish({ErrorCode::kProtocol, Step::kPlatformRead, "platform",
            absl::StrCat("the stored body of environment ",
                         entry.change.environment, ", version ",
                         entry.change.version, " is damaged")});
    return;
  }
  entry.change.body = std::move(body);
  --pending_reads_;
  ContinueFetch();
}

void DocumentSync::Apply() {
  for (const auto& it : changes_) {
    table_.Apply(it.change);
  }
  table_.RaiseRevision(target_revision_);
  changes_.clear();
  // Continues with the rest of the log unless peers have delivered it by now.
  OnHead(head_revision_);
}

void DocumentSync::Finish(const Error& error) {
  if (!finished_) {
    finished_ = true;
    done_(error);
  }
}

}  // namespace radishrail::internal
