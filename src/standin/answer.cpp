/// The stand-in's answers: a function of (servable, prompt, offset) alone, so that any engine
/// continues any answer and a caller can check it.
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <string>

#include "walnut/standin/engine.h"

namespace walnut::standin {

namespace {

constexpr std::array<const char*, 16> kSyllables = {"ka", "lo", "mi", "nu", "pe", "ri", "sa", "to",
                                                    "vu", "he", "jo", "ky", "la", "me", "ni", "po"};
constexpr unsigned kSyllablesPerToken = 3;
/// Length of answers that nothing limits, in tokens.
constexpr std::uint64_t kShortestAnswer = 8;
constexpr std::uint64_t kLongestAnswer = 263;
/// Separates the hashed parts, so that ("ab", "c") and ("a", "bc") differ.
constexpr char kSeparator = '\0';

std::uint64_t answerSeed(const resource::Servable& servable, const std::string& prompt) {
  std::string text = servable.model;
  text += kSeparator;
  text += servable.version;
  text += kSeparator;
  text += servable.adapter;
  text += kSeparator;
  text += prompt;
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

std::string expectedToken(const resource::Servable& servable, const std::string& prompt,
                          std::uint32_t offset) {
  std::uint64_t bits = XXH3_64bits_withSeed(&offset, sizeof(offset), answerSeed(servable, prompt));
  std::string token = " ";
  for (unsigned syllable = 0; syllable < kSyllablesPerToken; ++syllable) {
    token += kSyllables.at(bits % kSyllables.size());
    bits /= kSyllables.size();
  }
  return token;
}

std::uint32_t expectedTokenCount(const resource::Servable& servable, const std::string& prompt,
                                 std::uint32_t maxTokens) {
  const std::uint64_t span = kLongestAnswer - kShortestAnswer + 1;
  const std::uint64_t whole = kShortestAnswer + answerSeed(servable, prompt) % span;
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(whole, maxTokens));
}

}  // namespace walnut::standin
