#pragma once
/// @file
/// Buffer of bytes to be written to a socket.

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "walnut/base/tight_append.h"

namespace walnut::event {

/// FIFO buffer of bytes in contiguous memory, so that many small frames are sent by a single write.
/// Its memory is released whenever it becomes empty.
class OutputBuffer {
 public:
  void append(std::string_view bytes) { base::tightAppend(buffer_, bytes); }

  /// Takes the bytes over without a copy if the buffer is empty.
  void append(std::string&& bytes) {
    if (empty()) {
      buffer_ = std::move(bytes);
      written_ = 0;
    } else {
      append(std::string_view(bytes));
    }
  }

  /// @return all buffered bytes, oldest first.
  std::string_view front() const { return std::string_view(buffer_).substr(written_); }

  /// Removes `count` bytes at the front.
  void consume(std::size_t count) {
    written_ += count;
    if (written_ == buffer_.size()) {
      std::string().swap(buffer_);
      written_ = 0;
    } else if (written_ > buffer_.size() / 2) {
      // Moving the rest only once more than half is written keeps the total copying linear in the
      // number of bytes sent.
      std::string(buffer_, written_).swap(buffer_);
      written_ = 0;
    }
  }

  std::size_t size() const { return buffer_.size() - written_; }
  bool empty() const { return size() == 0; }

 private:
  std::string buffer_;
  std::size_t written_ = 0;
};

}  // namespace walnut::event
