#ifndef RADISHRAIL_JOB_JSON_H_
#define RADISHRAIL_JOB_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "radishrail/job.h"

namespace radishrail {

// Parses and checks a job body. Errors name the field, what is allowed and what
// was found. `key` is the key of the request.
std::optional<JobSpec> ParseJob(std::string_view body,
                                std::string_view key,
                                Error* error);
std::string JobToJson(const JobSpec& job);

std::optional<JobAnswer> ParseJobAnswer(std::string_view body, Error* error);
std::string JobAnswerToJson(const JobAnswer& answer);
std::string ErrorToJson(const Error& error);

// HTTP status of an answer: 200 complete, 502 failed, 503 not_run (429 for a
// quota), 202 while running.
int HttpStatusOf(const JobAnswer& answer);
// HTTP status of an error that occurred before the job was accepted.
int HttpStatusOf(const Error& error);

}  // namespace radishrail

#endif  // RADISHRAIL_JOB_JSON_H_
