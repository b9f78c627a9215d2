/** Scenarios about complete answers. */

import { defineFeature } from "../lib/defineFeature.js";
import { DeskFixture } from "../lib/DeskFixture.js";
import { answerSteps } from "../lib/steps/answerSteps.js";
import { deliverySteps, fleetSteps } from "../lib/steps/fleetSteps.js";
import { faultSteps, orderSteps } from "../lib/steps/orderSteps.js";

defineFeature<DeskFixture>(
    "answers",
    [fleetSteps, deliverySteps, orderSteps, faultSteps, answerSteps],
    seed => new DeskFixture(seed),
);
