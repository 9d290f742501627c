#include "control/command_log.h"

#include "walnut/protocol/codec.h"

namespace walnut::control {

base::Result<consensus::LogIndex> CommandLog::propose(base::TimePoint now, CommandBody body) {
  return raft_.propose(now, protocol::encodeCommand(Command{now, std::move(body)}));
}

}  // namespace walnut::control
