#include "simulator/limit_account.h"

#include <algorithm>

namespace walnut::simulator {

namespace {

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

LimitAccount::Spell* LimitAccount::open(const std::string& worker) {
  const auto found = open_.find(worker);
  return found == open_.end() ? nullptr : &spells_[found->second];
}

void LimitAccount::limitSet(const std::string& worker, double perSecond, base::TimePoint now) {
  Spell* spell = open(worker);
  if (spell == nullptr) {
    open_[worker] = spells_.size();
    spell = &spells_.emplace_back();
    spell->worker = worker;
    spell->begin = now;
  }
  // Who was told of a higher limit doesn't know of this one.
  if (!spell->rates.empty() && perSecond < spell->rates.back().perSecond) {
    spell->told.clear();
  }
  spell->rates.push_back({now, perSecond});
}

void LimitAccount::limitEnded(const std::string& worker, base::TimePoint now) {
  if (Spell* spell = open(worker)) {
    spell->end = now;
    open_.erase(worker);
  }
}

void LimitAccount::told(const std::string& worker, std::uint64_t gateway, base::TimePoint now) {
  if (Spell* spell = open(worker)) {
    spell->toldFirst = std::min(spell->toldFirst, now);
    spell->told.try_emplace(gateway, now);
  }
}

void LimitAccount::arrived(const std::string& worker, std::uint64_t gateway, bool excused,
                           base::TimePoint now) {
  Spell* spell = open(worker);
  if (spell == nullptr || spell->toldFirst == base::kNever || now < spell->toldFirst + kContact) {
    return;
  }
  ++spell->all;
  ++arrivals_;
  const auto told = spell->told.find(gateway);
  if (!excused && told != spell->told.end() && now >= told->second + kToldBefore) {
    spell->counted.push_back(now);
  }
}

/// A lower limit binds `kContact` after it is named, as the first one does.
double LimitAccount::highestRate(const Spell& spell, base::TimePoint from, base::TimePoint until) {
  double highest = 0;
  for (std::size_t index = 0; index < spell.rates.size(); ++index) {
    const bool last = index + 1 == spell.rates.size();
    const base::TimePoint end = last ? base::kNever : spell.rates[index + 1].from + kContact;
    if (spell.rates[index].from <= until && end > from) {
      highest = std::max(highest, spell.rates[index].perSecond);
    }
  }
  return highest;
}

LimitWindow LimitAccount::worst() const {
  LimitWindow worst;
  double most = -1;
  for (const Spell& spell : spells_) {
    std::size_t first = 0;
    for (std::size_t last = 0; last < spell.counted.size(); ++last) {
      const base::TimePoint end = spell.counted[last];
      while (spell.counted[first] < end - kWindow) {
        ++first;
      }
      const double allowed =
          kFactor * seconds(kWindow) * highestRate(spell, end - kWindow, end) + kSlack;
      const std::uint64_t arrivals = last - first + 1;
      if (static_cast<double>(arrivals) / allowed > most) {
        most = static_cast<double>(arrivals) / allowed;
        worst = {spell.worker, arrivals, allowed, end};
      }
    }
  }
  return worst;
}

double LimitAccount::used(base::TimePoint now) const {
  double taken = 0;
  double allowed = 0;
  for (const Spell& spell : spells_) {
    if (spell.toldFirst == base::kNever) {
      continue;
    }
    const base::TimePoint end = std::min(spell.end, now);
    for (std::size_t index = 0; index < spell.rates.size(); ++index) {
      const bool last = index + 1 == spell.rates.size();
      const base::TimePoint from = std::max(spell.rates[index].from, spell.toldFirst + kContact);
      const base::TimePoint until = last ? end : std::min(end, spell.rates[index + 1].from);
      allowed += until > from ? spell.rates[index].perSecond * seconds(until - from) : 0;
    }
    taken += static_cast<double>(spell.all);
  }
  return allowed > 0 ? taken / allowed : 0;
}

}  // namespace walnut::simulator
