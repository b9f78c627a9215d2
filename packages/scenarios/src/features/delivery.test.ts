/** Scenarios about delivery. */

import { defineFeature } from "../lib/defineFeature.js";
import { DeliveryFixture } from "../lib/DeliveryFixture.js";
import { deliverySteps, fleetSteps } from "../lib/steps/fleetSteps.js";
import { stepSteps } from "../lib/steps/stepSteps.js";

defineFeature<DeliveryFixture>("delivery", [fleetSteps, deliverySteps, stepSteps], seed => new DeliveryFixture(seed));
