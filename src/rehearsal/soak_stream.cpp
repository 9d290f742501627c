#include "rehearsal/soak_stream.h"

#include <string_view>

namespace walnut::rehearsal {

std::string SoakStream::take(const std::string& bytes, const std::string& request) {
  constexpr std::string_view kEnd = "\n\n";
  std::size_t begin = 0;
  for (std::size_t end = bytes.find(kEnd); end != std::string::npos;
       end = bytes.find(kEnd, begin)) {
    const std::string event = bytes.substr(begin, end - begin);
    begin = end + kEnd.size();
    const std::string number = std::to_string(lastId_ + 1);
    std::string expected = "id: ";
    expected.append(number).append("\ndata: part ").append(number).append(" of ");
    if (!event.starts_with(expected)) {
      return std::string("event ").append(number).append(" is due, not ").append(event);
    }
    ++lastId_;
    begunBy_ = begunBy_.empty() ? request : begunBy_;
    versions_.insert(event.substr(expected.size()));
  }
  return versions_.size() > 1 ? "its events are of several software versions" : "";
}

}  // namespace walnut::rehearsal
