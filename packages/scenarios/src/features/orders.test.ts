/** Scenarios about orders, which are not idempotent and must not be repeated. */

import { defineFeature } from "../lib/defineFeature.js";
import { DeskFixture } from "../lib/DeskFixture.js";
import { fleetSteps } from "../lib/steps/fleetSteps.js";
import { faultSteps, orderSteps } from "../lib/steps/orderSteps.js";

defineFeature<DeskFixture>("orders", [fleetSteps, orderSteps, faultSteps], seed => new DeskFixture(seed));
