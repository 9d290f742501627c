#pragma once
/// @file
/// cereal archives over memory. cereal's own binary archive trusts the sizes that it reads; the
/// input archive here checks each size against the remaining bytes and grows containers only as
/// their elements are read.

#include <cereal/cereal.hpp>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "walnut/base/error.h"

namespace walnut::base {

/// Appends the binary form of values to a string. All supported targets are
/// little-endian; other hosts are not handled.
class OutputArchive : public cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision> {
 public:
  OutputArchive() : cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision>(this) {}

  void saveBinary(const void* data, std::size_t size) {
    bytes_.append(static_cast<const char*>(data), size);
  }

  std::string release() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

/// Reads values from a borrowed buffer. Throws cereal::Exception on malformed input; use `decode`.
class InputArchive : public cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit InputArchive(std::string_view bytes)
      : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(this), rest_(bytes) {}

  void loadBinary(void* data, std::size_t size) {
    if (size > rest_.size()) {
      throw cereal::Exception("truncated");
    }
    std::memcpy(data, rest_.data(), size);
    rest_.remove_prefix(size);
  }

  std::size_t remaining() const { return rest_.size(); }

 private:
  std::string_view rest_;
};

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive,
                                                                    const T& value) {
  archive.saveBinary(std::addressof(value), sizeof(value));
}

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive,
                                                                    T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t byte = 0;
    archive.loadBinary(&byte, sizeof(byte));
    if (byte > 1) {
      throw cereal::Exception("not a boolean");
    }
    value = byte == 1;
  } else {
    archive.loadBinary(std::addressof(value), sizeof(value));
  }
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(OutputArchive& archive, cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(InputArchive& archive, cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(OutputArchive& archive, cereal::SizeTag<T>& tag) {
  const auto size = static_cast<std::uint64_t>(tag.size);
  archive(size);
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(InputArchive& archive, cereal::SizeTag<T>& tag) {
  std::uint64_t size = 0;
  archive(size);
  if (size > archive.remaining()) {
    throw cereal::Exception("size is past the end");
  }
  tag.size = size;
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive, const cereal::BinaryData<T>& data) {
  archive.saveBinary(data.data, static_cast<std::size_t>(data.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, cereal::BinaryData<T>& data) {
  archive.loadBinary(data.data, static_cast<std::size_t>(data.size));
}

/// Loads a vector element by element, so that a forged size allocates no more memory than the input
/// justifies. More specialised than cereal's own function for vectors of classes.
template <class T, class Allocator>
std::enable_if_t<!std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(
    InputArchive& archive, std::vector<T, Allocator>& values) {
  cereal::size_type size = 0;
  archive(cereal::make_size_tag(size));
  values.clear();
  for (cereal::size_type index = 0; index < size; ++index) {
    T value{};
    archive(value);
    values.push_back(std::move(value));
  }
}

/// @return the binary form of `value`.
template <class T>
std::string encode(const T& value) {
  OutputArchive archive;
  archive(value);
  return archive.release();
}

/// @return the value, or `malformedInput` if the bytes are not exactly one `T`.
template <class T>
Result<T> decode(std::string_view bytes, const char* what) {
  try {
    InputArchive archive(bytes);
    T value{};
    archive(value);
    if (archive.remaining() != 0) {
      return Error{ErrorCode::malformedInput, what, "bytes after the end"};
    }
    return value;
  } catch (const std::exception& exception) {
    return Error{ErrorCode::malformedInput, what, exception.what()};
  }
}

}  // namespace walnut::base

CEREAL_REGISTER_ARCHIVE(walnut::base::OutputArchive)
CEREAL_REGISTER_ARCHIVE(walnut::base::InputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(walnut::base::InputArchive, walnut::base::OutputArchive)
