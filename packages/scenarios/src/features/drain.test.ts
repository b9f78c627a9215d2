/** Scenarios about leaving targets. */

import { defineFeature } from "../lib/defineFeature.js";
import { OperationsFixture } from "../lib/OperationsFixture.js";
import { deliverySteps, fleetSteps } from "../lib/steps/fleetSteps.js";
import { drainSteps, networkSteps, shutdownSteps } from "../lib/steps/operationsSteps.js";

defineFeature(
    "drain",
    [fleetSteps, deliverySteps, networkSteps, drainSteps, shutdownSteps],
    seed => new OperationsFixture(seed),
);
