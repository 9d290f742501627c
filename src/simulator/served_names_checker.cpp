/// @file
/// Point 9 as callers see it by names: a model or adapter that was accepted is known at every
/// router within the bound, and one whose removal was accepted is no longer served.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "simulator/oracle.h"

namespace walnut::simulator {

namespace {

/// One write that serves a name, or ends that.
struct NameWrite {
  std::string requestId;
  bool serves = false;
  resource::Version version = 0;  ///< 0: not acknowledged.
  base::TimePoint acknowledgedAt;
};

struct AskedName {
  std::string target;
  std::string router;
  base::TimePoint issuedAt;
};

class ServedNamesChecker : public Checker {
 public:
  ServedNamesChecker(ViolationLog& log, const OracleBounds& bounds) : log_(log), bounds_(bounds) {}

  void observe(base::TimePoint at, const HistoryEvent& event) override {
    if (const auto* sent = std::get_if<WriteSent>(&event)) {
      noteSent(*sent);
    } else if (const auto* acknowledged = std::get_if<WriteAcknowledged>(&event)) {
      noteAcknowledged(at, *acknowledged);
    } else if (const auto* refusedWrite = std::get_if<WriteRefused>(&event)) {
      noteWriteRefused(*refusedWrite);
    } else if (const auto* issued = std::get_if<RequestIssued>(&event)) {
      asked_[issued->request] = AskedName{issued->target, issued->router, at};
    } else if (const auto* refused = std::get_if<RequestRefused>(&event)) {
      if (refused->code == base::ErrorCode::unknownModel) {
        noteUnknown(at, refused->request);
      }
    } else if (const auto* ended = std::get_if<AnswerEnded>(&event)) {
      noteAnswered(at, ended->request);
    }
  }

 private:
  using Writes = std::vector<NameWrite>;

  void noteSent(const WriteSent& sent) {
    const bool named =
        sent.key.kind == resource::Kind::model || sent.key.kind == resource::Kind::adapter;
    if (!named || !requestsSeen_.insert(sent.requestId).second) {
      return;
    }
    NameWrite write;
    write.requestId = sent.requestId;
    write.serves = sent.spec.has_value();
    if (sent.spec && sent.key.kind == resource::Kind::model) {
      write.serves = !std::get<resource::ModelSpec>(*sent.spec).activeVersion.empty();
    } else if (sent.spec) {
      modelOfAdapter_[sent.key.name] = std::get<resource::AdapterSpec>(*sent.spec).model;
    }
    writes_[sent.key.name].push_back(write);
  }

  void noteAcknowledged(base::TimePoint at, const WriteAcknowledged& acknowledged) {
    for (auto& [name, writes] : writes_) {
      for (NameWrite& write : writes) {
        if (write.requestId == acknowledged.requestId && write.version == 0) {
          write.version = acknowledged.version;
          write.acknowledgedAt = at;
        }
      }
    }
  }

  void noteWriteRefused(const WriteRefused& refused) {
    for (auto& [name, writes] : writes_) {
      std::erase_if(writes,
                    [&](const NameWrite& write) { return write.requestId == refused.requestId; });
    }
  }

  /// @return true if a write with this effect was in force everywhere at `time`, and none with the
  /// other effect may have come after it.
  bool settled(const std::string& name, bool serves, base::TimePoint time) const {
    const auto found = writes_.find(name);
    if (found == writes_.end()) {
      return !serves;
    }
    const Writes& writes = found->second;
    return std::any_of(writes.begin(), writes.end(), [&](const NameWrite& write) {
      const bool inForce = write.serves == serves && write.version != 0 &&
                           write.acknowledgedAt + bounds_.acceptedToInForce < time;
      return inForce && std::none_of(writes.begin(), writes.end(), [&](const NameWrite& other) {
               return other.serves != serves &&
                      (other.version == 0 || other.version > write.version);
             });
    });
  }

  void noteUnknown(base::TimePoint at, const base::RequestId& request) {
    const AskedName& asked = asked_[request];
    const auto model = modelOfAdapter_.find(asked.target);
    const bool served =
        settled(asked.target, true, asked.issuedAt) &&
        (model == modelOfAdapter_.end() || settled(model->second, true, asked.issuedAt));
    if (served) {
      log_.add(at, Point::configurationInForce,
               asked.router + " does not know " + asked.target + ", accepted long before request " +
                   request.value);
    }
  }

  void noteAnswered(base::TimePoint at, const base::RequestId& request) {
    const AskedName& asked = asked_[request];
    if (settled(asked.target, false, asked.issuedAt)) {
      log_.add(at, Point::configurationInForce,
               asked.router + " served " + asked.target + " to request " + request.value +
                   ", which was not declared, or removed long before");
    }
  }

  ViolationLog& log_;
  OracleBounds bounds_;
  std::map<std::string, Writes> writes_;  ///< By name, in order of sending.
  std::map<std::string, std::string> modelOfAdapter_;
  std::set<std::string> requestsSeen_;
  std::map<base::RequestId, AskedName> asked_;
};

}  // namespace

std::unique_ptr<Checker> makeServedNamesChecker(ViolationLog& log, const OracleBounds& bounds) {
  return std::make_unique<ServedNamesChecker>(log, bounds);
}

}  // namespace walnut::simulator
