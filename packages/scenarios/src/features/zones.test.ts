/** Scenarios about zones that are partitioned or lost. */

import { defineFeature } from "../lib/defineFeature.js";
import { OperationsFixture } from "../lib/OperationsFixture.js";
import { deliverySteps, fleetSteps } from "../lib/steps/fleetSteps.js";
import { drainSteps, networkSteps, shutdownSteps } from "../lib/steps/operationsSteps.js";

defineFeature(
    "zones",
    [fleetSteps, deliverySteps, networkSteps, drainSteps, shutdownSteps],
    seed => new OperationsFixture(seed),
);
