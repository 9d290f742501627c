/// Tests the order of loads from the weight store where replicas are slow to add. The load is that
/// of a service of 300 models whose store serves one load of 13.2 s at a time: most models without
/// a replica have 0.1 to 0.7 requests/s, and a few with four replicas have 50 requests/s and more.

#include "registry/store_ranking.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

namespace {

constexpr double kTolerance = 0.01;

}  // namespace

TEST_GROUP(StoreRankingTest){
    /// @return a model without a replica.
    static StoreLoadDemand cold(const char* model, double rate){StoreLoadDemand demand;
demand.model = model;
demand.expectedRate = rate;
demand.callerTimeout = 2400ms;
demand.loadTime = 13200ms;
return demand;
}
/// @return a model whose four replicas are full and answer that many requests per second.
static StoreLoadDemand full(const char* model, double rate, double served) {
  StoreLoadDemand demand = cold(model, rate);
  demand.replicas = 4;
  demand.servedRate = served;
  demand.usedShare = 1.0;
  return demand;
}
/// @return the models in their order, each followed by a space.
static std::string order(const std::vector<StoreLoadDemand>& demands, bool longWaitFirst = true) {
  std::string models;
  for (const RankedStoreLoad& load : rankStoreLoads(demands, longWaitFirst)) {
    models += load.model + " ";
  }
  return models;
}
}
;

/// Guards against a model with 50 requests/s that waits behind models with hardly any.
TEST(StoreRankingTest, aFullModelInDemandComesBeforeColdOnesWithFewRequests) {
  STRCMP_EQUAL("full cold2 cold1 ",
               order({cold("cold1", 0.12), full("full", 50, 32), cold("cold2", 0.7)}).c_str());
}

/// Guards against a further replica for a model that its replicas serve anyway.
TEST(StoreRankingTest, aModelThatItsReplicasServeComesLast) {
  STRCMP_EQUAL("cold served ", order({full("served", 50, 50), cold("cold", 0.12)}).c_str());
  DOUBLES_EQUAL(0, storeLoadValue(full("served", 50, 50)), kTolerance);
}

/// Guards against a value beyond what one replica serves: it has the same use for an excess of ten
/// requests/s as for one of hundreds.
TEST(StoreRankingTest, aReplicaServesNoMoreThanTheOthersDo) {
  DOUBLES_EQUAL(8 * 13.2, storeLoadValue(full("full", 500, 32)), kTolerance);
}

/// Guards against a capacity taken from replicas that are half empty.
TEST(StoreRankingTest, theCapacityOfReplicasThatAreNotFullIsExtrapolated) {
  StoreLoadDemand half = full("half", 50, 32);
  half.usedShare = 0.5;
  DOUBLES_EQUAL(0, storeLoadValue(half), kTolerance);
}

/// Guards against several loads for an excess that the first one serves.
TEST(StoreRankingTest, aReplicaThatIsBeingLoadedCounts) {
  StoreLoadDemand demand = full("full", 40, 32);
  CHECK_TRUE(storeLoadValue(demand) > 0);
  demand.replicasBeingLoaded = 1;
  DOUBLES_EQUAL(0, storeLoadValue(demand), kTolerance);
}

/// Guards against a load for callers that have left before its end.
TEST(StoreRankingTest, onlyCallersThatStayUntilTheEndCount) {
  StoreLoadDemand leaving = cold("leaving", 0.1);
  leaving.waiting = 9;
  leaving.waitersStayFor = 13s;
  StoreLoadDemand staying = cold("staying", 0.1);
  staying.waiting = 3;
  staying.waitersStayFor = 14s;
  STRCMP_EQUAL("staying leaving ", order({leaving, staying}).c_str());
  leaving.startsIn = 2s;
  staying.startsIn = 2s;
  DOUBLES_EQUAL(storeLoadValue(leaving), storeLoadValue(staying), kTolerance);
}

/// Guards against a load that puts off one of a higher priority for little more demand.
TEST(StoreRankingTest, aLowerPriorityHasLessWeight) {
  StoreLoadDemand low = cold("low", 0.6);
  low.priority = 2;
  STRCMP_EQUAL("high low ", order({low, cold("high", 0.3)}).c_str());
  DOUBLES_EQUAL(0.49 * storeLoadValue(cold("high", 0.6)), storeLoadValue(low), kTolerance);
}

/// Guards against a model that is never loaded, since others are requested more all the time.
TEST(StoreRankingTest, aModelThatWaitedLongGoesFirst) {
  StoreLoadDemand longest = cold("longest", 0.12);
  longest.wantedFor = 40s;
  StoreLoadDemand longer = cold("longer", 0.7);
  longer.wantedFor = 27s;
  StoreLoadDemand recent = cold("recent", 0.7);
  recent.wantedFor = 26s;
  STRCMP_EQUAL("longest longer full recent ",
               order({full("full", 50, 32), recent, longer, longest}).c_str());
}

/// Guards against a store that serves by age alone once the demand exceeds its rate for long.
TEST(StoreRankingTest, everySecondPlaceCanGoByValue) {
  StoreLoadDemand longest = cold("longest", 0.12);
  longest.wantedFor = 40s;
  STRCMP_EQUAL("full longest ", order({longest, full("full", 50, 32)}, false).c_str());
}

/// Guards against a spare replica that would serve nobody and takes the store by its age.
TEST(StoreRankingTest, aLoadThatServesNobodyNeverGoesFirst) {
  StoreLoadDemand spare = full("spare", 5, 5);
  spare.wantedFor = 100s;
  STRCMP_EQUAL("cold spare ", order({spare, cold("cold", 0.12)}).c_str());
}

/// Guards against a model that is unloaded for a load which doesn't follow.
TEST(StoreRankingTest, aLoadForWhichRoomIsMadeKeepsItsPlace) {
  StoreLoadDemand held = cold("held", 0.12);
  held.holdsPlace = true;
  StoreLoadDemand longest = cold("longest", 0.12);
  longest.wantedFor = 40s;
  STRCMP_EQUAL("held longest full ", order({full("full", 50, 32), longest, held}).c_str());
}
