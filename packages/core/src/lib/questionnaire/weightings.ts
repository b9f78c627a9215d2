/** How the answer to `matters_most` sets the trade-offs in the generated pools of model engines. */

import { type z } from "zod";
import { type configDocumentSchema } from "../config/ConfigDocument.js";
import { type Questionnaire } from "./Questionnaire.js";

type PoolTradeOffs = Pick<
    z.input<typeof configDocumentSchema>["pools"][number],
    "reserveShortShare" | "hedgeBudget" | "minServingShare"
>;

/** The settings of an engine pool for each answer. */
export const weightings: Readonly<Record<Questionnaire["matters_most"], PoolTradeOffs>> = {
    "people-waiting": { reserveShortShare: 0.25, hedgeBudget: 0.05, minServingShare: 0.75 },
    "training": { reserveShortShare: 0, hedgeBudget: 0.02, minServingShare: 0.34 },
    "both": { reserveShortShare: 0.125, hedgeBudget: 0.05, minServingShare: 0.5 },
};

/** The answer that each value of a weighting comes from. */
export const weightingSources: Readonly<Record<keyof PoolTradeOffs, string>> = {
    reserveShortShare: "matters_most",
    hedgeBudget: "matters_most",
    minServingShare: "matters_most",
};
