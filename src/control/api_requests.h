#pragma once
/// @file
/// Stateless checks of requests to the resource API.

#include "walnut/base/error.h"
#include "walnut/protocol/messages.h"

namespace walnut::control {

/// @return true if the request changes the cell.
bool isWrite(const protocol::ApiRequest& request);

/// Checks the form of a request.
/// @return `missingField`, `outOfRange` or `wrongType`; the error contains the name of the field.
base::Result<void> checkRequest(const protocol::ApiRequest& request);

}  // namespace walnut::control
