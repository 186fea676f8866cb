#ifndef RADISHRAIL_SRC_HTTP_REQUEST_STATE_H_
#define RADISHRAIL_SRC_HTTP_REQUEST_STATE_H_

#include <microhttpd.h>

#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>

#include "radishrail/http_server.h"

namespace radishrail::internal {

// One request from its header to the end of its response. Shared by the threads
// of the server and the thread that answers; the mutex guards the private
// members.
class HttpRequestState {
 public:
  explicit HttpRequestState(MHD_Connection* connection)
      : connection_(connection) {}

  // Used by the connection's thread only, before the request is dispatched.
  HttpRequest request;
  size_t received_bytes = 0;
  bool too_large = false;
  bool dispatched = false;

  // Stores the response, which the connection's thread then sends.
  void Answer(HttpResponse response) {
    const std::lock_guard lock(mutex_);
    if (answered_ || connection_ == nullptr) {
      return;
    }
    response_ = std::move(response);
    FinishLocked();
  }

  // Makes the connection's thread close the connection without a response.
  void CloseConnection() {
    const std::lock_guard lock(mutex_);
    if (answered_ || connection_ == nullptr) {
      return;
    }
    close_without_response_ = true;
    FinishLocked();
  }

  bool OnClientDisconnect(std::function<void()> callback) {
    const std::lock_guard lock(mutex_);
    on_client_disconnect_ = std::move(callback);
    return !client_disconnected_;
  }

  // The connection's file descriptor while the request waits for an answer; -1
  // otherwise.
  int waiting_fd() {
    const std::lock_guard lock(mutex_);
    if (connection_ == nullptr || !suspended_) {
      return -1;
    }
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info == nullptr ? -1 : info->connect_fd;
  }

  // The client disconnected: closes the connection and runs the callback.
  void HandleClientDisconnect() {
    std::function<void()> callback;
    {
      const std::lock_guard lock(mutex_);
      if (answered_ || connection_ == nullptr) {
        return;
      }
      close_without_response_ = true;
      client_disconnected_ = true;
      callback = std::move(on_client_disconnect_);
      FinishLocked();
    }
    if (callback) {
      callback();
    }
  }

  // Returns true if the request was answered or its connection is to be closed.
  // Otherwise suspends the connection until that happens.
  bool IsAnsweredOrSuspend() {
    const std::lock_guard lock(mutex_);
    if (!answered_) {
      suspended_ = true;
      MHD_suspend_connection(connection_);
    }
    return answered_;
  }

  // Called by the connection's thread once the request is answered.
  bool close_without_response() const { return close_without_response_; }
  HttpResponse TakeResponse() { return std::move(response_); }

  // Called when the response was sent or the connection ended; the connection
  // must not be used afterwards.
  void Complete() {
    const std::lock_guard lock(mutex_);
    connection_ = nullptr;
    suspended_ = false;
  }

 private:
  void FinishLocked() {
    answered_ = true;
    if (std::exchange(suspended_, false)) {
      MHD_resume_connection(connection_);
    }
  }

  std::mutex mutex_;
  MHD_Connection* connection_;
  HttpResponse response_;
  bool close_without_response_ = false;
  bool answered_ = false;
  bool suspended_ = false;
  bool client_disconnected_ = false;
  std::function<void()> on_client_disconnect_;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_HTTP_REQUEST_STATE_H_
