#pragma once
/// @file
/// JSON form of the parts that several messages share.

#include <Poco/JSON/Object.h>

#include "engine/json_fields.h"
#include "walnut/engine/json_codec.h"

namespace walnut::engine {

Poco::JSON::Object tokenToJson(const FencingToken& token);
FencingToken tokenFromJson(const JsonReader& reader);

Poco::JSON::Object servableToJson(const resource::Servable& servable);
resource::Servable servableFromJson(const JsonReader& reader);

Poco::JSON::Object loadToJson(const Load& load);
Load loadFromJson(const JsonReader& reader);

Poco::JSON::Object errorToJson(const base::Error& error);
base::Error errorFromJson(const JsonReader& reader);

const char* startedName(GenerateFailed::Started started);
GenerateFailed::Started startedFromJson(const JsonReader& reader);

}  // namespace walnut::engine
