#include "rehearsal/answer_check.h"

#include <algorithm>

#include "walnut/standin/engine.h"

namespace walnut::rehearsal {

namespace {

/// What an engine answers for one servable.
class ExpectedAnswer {
 public:
  ExpectedAnswer(const resource::Servable& servable, const std::string& prompt,
                 std::uint32_t maxTokens)
      : servable_(servable),
        prompt_(prompt),
        tokenCount_(standin::expectedTokenCount(servable, prompt, maxTokens)) {}

  /// @return true if the transcript's text is a beginning of the answer, cut between tokens.
  bool beginsWith(const Transcript& transcript) const {
    if (!transcript.streamed) {
      return transcript.pieces.empty() || isWhole(transcript);
    }
    if (transcript.pieces.size() > tokenCount_) {
      return false;
    }
    for (std::uint32_t offset = 0; offset < transcript.pieces.size(); ++offset) {
      if (transcript.pieces[offset] != token(offset)) {
        return false;
      }
    }
    return true;
  }

  bool isWhole(const Transcript& transcript) const {
    if (transcript.tokenCount && *transcript.tokenCount != tokenCount_) {
      return false;
    }
    if (transcript.streamed) {
      return transcript.pieces.size() == tokenCount_ && beginsWith(transcript);
    }
    std::string text;
    for (std::uint32_t offset = 0; offset < tokenCount_; ++offset) {
      text += token(offset);
    }
    return transcript.pieces.size() == 1 && transcript.pieces.front() == text;
  }

 private:
  std::string token(std::uint32_t offset) const {
    return standin::expectedToken(servable_, prompt_, offset);
  }

  const resource::Servable& servable_;
  const std::string& prompt_;
  std::uint32_t tokenCount_;
};

}  // namespace

const char* verdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::answered:
      return "answered";
    case Verdict::refused:
      return "refused";
    case Verdict::wrong:
      return "wrong";
    case Verdict::cut:
      return "cut";
    case Verdict::unreachable:
      break;
  }
  return "unreachable";
}

Verdict judge(const Transcript& transcript, const Target& target, const std::string& prompt,
              std::uint32_t maxTokens) {
  const auto matches = [&](auto member) {
    return std::any_of(target.servables.begin(), target.servables.end(),
                       [&](const resource::Servable& servable) {
                         return (ExpectedAnswer(servable, prompt, maxTokens).*member)(transcript);
                       });
  };
  if (transcript.ended) {
    return matches(&ExpectedAnswer::isWhole) ? Verdict::answered : Verdict::wrong;
  }
  if (!matches(&ExpectedAnswer::beginsWith)) {
    return Verdict::wrong;
  }
  if (transcript.refusal) {
    return Verdict::refused;
  }
  const bool unsent =
      transcript.failure && transcript.failure->code == base::ErrorCode::connectFailed;
  return unsent ? Verdict::unreachable : Verdict::cut;
}

}  // namespace walnut::rehearsal
