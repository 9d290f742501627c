#pragma once
/// @file
/// Judges whether streams keep to the software version of the worker that began them, and whether
/// streams that callers take up go on as new ones begin.

#include <cstdint>
#include <set>
#include <string>

namespace walnut::simulator {

class VersionAccount {
 public:
  /// From which on the shares are compared.
  static constexpr std::uint64_t kLeastTakeUps = 12;

  struct Count {
    std::uint64_t sent = 0;
    std::uint64_t begun = 0;

    double share() const {
      return sent == 0 ? 1 : static_cast<double>(begun) / static_cast<double>(sent);
    }
  };

  /// A try was sent to a gateway in touch.
  /// @param takesUp it takes a stream up while two or more workers of its version serve.
  void sent(bool takesUp) { ++(takesUp ? takeUps_ : news_).sent; }
  /// A first event of such a try has come.
  void begun(bool takesUp) { ++(takesUp ? takeUps_ : news_).begun; }
  /// A stream holds events of two versions.
  void mixed(const std::string& stream) { mixed_.insert(stream); }

  const Count& takeUps() const { return takeUps_; }
  const Count& newStreams() const { return news_; }
  std::size_t mixedStreams() const { return mixed_.size(); }
  /// @return true if taken-up streams go on less than half as often as new ones begin.
  bool takesUpTooFew() const;
  std::string description() const;

 private:
  Count takeUps_;
  Count news_;
  std::set<std::string> mixed_;
};

}  // namespace walnut::simulator
