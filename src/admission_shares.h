#ifndef RADISHRAIL_SRC_ADMISSION_SHARES_H_
#define RADISHRAIL_SRC_ADMISSION_SHARES_H_

#include <array>
#include <cstdint>
#include <vector>

namespace radishrail::internal {

// Divides scarce capacity at admission: between environments in equal parts, of
// which the unused is lent; and between the wide and the narrow jobs of a kind.
// Times are in seconds, work in slot-seconds at speed 1.
class AdmissionShares {
 public:
  // The offers to which a job is compared.
  struct Group {
    uint32_t environment = 0;
    uint32_t kind = 0;
  };

  // Records that a job is offered. True if it belongs to the widest three
  // tenths of its kind.
  bool Offer(const Group& group, double work, double now_s);
  void Admitted(const Group& group, double work, double now_s);
  // The job found no room.
  void Refused(const Group& group, double now_s);
  // A job completed within its promised time.
  void Kept(const Group& group, bool wide, double now_s);

  // Part of the slots that a job must leave free beside its own, so that
  // environments within their share and wide jobs find room. `capacity` is the
  // work that can be done in a second.
  double Headroom(const Group& group, bool wide, double capacity, double now_s);

 private:
  // Decaying sum.
  struct Sum {
    double value = 0;
    double time_s = 0;

    void Add(double amount, double decay_s, double now_s);
    double At(double decay_s, double now_s) const;
  };
  struct Environment {
    Sum offered;   // work
    Sum admitted;  // work
  };
  struct Kind {
    double wide_work = 0;     // of the narrowest wide job
    std::array<Sum, 2> jobs;  // offered, of narrow and of wide
    std::array<Sum, 2> kept;
    double narrow_headroom = 0;
  };

  Environment& FindEnvironment(uint32_t environment);
  Kind& FindKind(uint32_t kind);
  void UpdateLevel(double capacity, double now_s);
  bool OverShare(const Environment& environment, double now_s) const;
  static double KeptShare(const Kind& kind, bool wide, double now_s);

  std::vector<Environment> environments_;
  std::vector<Kind> kinds_;
  // Work per second up to which every environment is served.
  double level_ = 0;
  double level_time_s_ = -1;
  bool scarce_ = false;  // nearly all that can be done was admitted
  bool any_over_share_ = false;
  // Part of the slots that environments over their share leave free.
  double share_headroom_ = 0;
};

}  // namespace radishrail::internal

#endif  // RADISHRAIL_SRC_ADMISSION_SHARES_H_
