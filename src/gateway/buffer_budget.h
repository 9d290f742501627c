#pragma once
/// @file
/// Bounds the memory that a gateway holds for all its callers together.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>

#include "walnut/net/byte_counter.h"

namespace walnut::gateway {

/// Bytes held for all callers: output that they have not read, request bodies, and collected
/// response bodies. Pure: contains no sockets and no clock.
///
/// Invariant: the committed bytes don't exceed the limit. Therefore memory is committed before it
/// is filled: a running exchange has always committed `kReadReserve`, and commits that much beyond
/// what it holds before it reads on.
class BufferBudget : public net::ByteCounter {
 public:
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max() / 4;
  /// Bytes by which one read from a worker may increase the output of a caller: 16 KiB, and the
  /// heads of the response and of its chunks.
  static constexpr std::size_t kReadReserve = 20U << 10U;

  explicit BufferBudget(std::size_t limit = kUnlimited) : limit_(limit) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  /// What the memory is for. Answers that are collected never take all: workers may send without
  /// end, and requests to others go on meanwhile.
  enum class Use : std::uint8_t { requests, answers };

  /// Memory of one holder, which is released with it.
  class Share {
   public:
    Share() = default;
    explicit Share(BufferBudget& budget, Use use = Use::requests) : budget_(&budget), use_(use) {}
    Share(Share&& other) noexcept { *this = std::move(other); }
    Share& operator=(Share&& other) noexcept;
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    ~Share() { clear(); }

    /// Sets the bytes without asking for room.
    void set(const net::ByteCount& count);
    /// Releases the bytes and withdraws a request for room.
    void clear();
    const net::ByteCount& count() const { return count_; }
    /// @return true after `requestRoom` until the room is given.
    bool isWaiting() const { return isWaiting_; }
    /// Requests room for `committed` bytes.
    /// @param ready called later by `serveWaiting`, unless there is room now. The share must not be
    /// moved before.
    /// @return true if there is room now.
    bool requestRoom(std::size_t committed, std::function<void()> ready);

   private:
    friend class BufferBudget;
    BufferBudget* budget_ = nullptr;
    Use use_ = Use::requests;
    net::ByteCount count_;
    bool isWaiting_ = false;
  };

  // net::ByteCounter
  void countChanged(const net::ByteCount& before, const net::ByteCount& after) override;

  std::size_t limit() const { return limit_; }
  std::size_t held() const { return held_; }
  std::size_t committed() const { return committed_; }
  /// @return the most bytes that were committed at any time.
  std::size_t peakCommitted() const { return peakCommitted_; }

  /// @return true if so many bytes more may be committed.
  bool fits(std::size_t bytes) const { return committed_ + bytes <= limit_; }
  /// @return true if so many bytes more would leave half of the limit free.
  bool fitsInHalf(std::size_t bytes) const { return committed_ + bytes <= limit_ / 2; }
  /// @return true if an answer whose size is not known may grow by so many bytes. The rest is left
  /// to answers that get the memory of the whole at once.
  bool letsGrow(std::size_t bytes) const {
    return answers_ + bytes <= answersLimit() / 3 && fits(bytes);
  }
  /// @return true if a new request with a body of this size may be taken. While an answer waits for
  /// room, the part for answers is left to it: new requests would take the room from it for ever.
  bool admits(std::size_t bodyBytes) const {
    const std::size_t bytes = bodyBytes + kReadReserve;
    return fits(bytes) &&
           (waiting_.empty() || committed_ - answers_ + bytes <= limit_ - answersLimit());
  }
  /// @return the bytes buffered for one caller above which reading from its worker pauses: `usual`
  /// up to half of the limit, from there on proportional to what is left.
  std::size_t streamBound(std::size_t usual) const;

  /// Sets the callback that runs when room may have become free for a share that waits for it. It
  /// must call `serveWaiting` later, not at once.
  void setRoomCallback(std::function<void()> callback) { onRoom_ = std::move(callback); }
  /// Gives room to the shares that wait for it, in the order of their requests.
  void serveWaiting();

 private:
  struct Waiting {
    Share* share = nullptr;
    std::size_t committed = 0;
    std::function<void()> ready;
  };
  bool giveRoom(Share& share, std::size_t committed);
  std::size_t answersLimit() const { return limit_ / 4 * 3; }

  const std::size_t limit_;
  std::size_t held_ = 0;
  std::size_t committed_ = 0;
  std::size_t answers_ = 0;  ///< Of the committed bytes, those of answers.
  std::size_t peakCommitted_ = 0;
  std::list<Waiting> waiting_;
  std::function<void()> onRoom_;
};

}  // namespace walnut::gateway
