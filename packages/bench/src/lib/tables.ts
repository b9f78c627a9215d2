/** Formats figures as tables for the terminal. */

import { type PolicySpreads } from "./BenchResult.js";
import { type TargetRow } from "./virtual/targetMeasures.js";

const measureWidth = 70;
const cellWidth = 30;
const significantDigits = 4;

/** Formats a figure with four significant digits. */
export function formatFigure(value: number): string {
    return String(Number(value.toPrecision(significantDigits)));
}

/** Formats one line for each measure with a target value. */
export function formatTargets(rows: readonly TargetRow[]): string {
    return rows.map(({ measure, target, spread, met }) => {
        const range = spread === undefined
            ? "no figure"
            : `${formatFigure(spread.median)} (${formatFigure(spread.lowest)} to ${formatFigure(spread.highest)})`;
        return `${measure.padEnd(measureWidth)}${target.padEnd(10)}${range.padEnd(cellWidth)}${
            met ? "met" : "NOT MET"
        }`;
    }).join("\n");
}

/** Formats one line for each measure, with one column for each policy. */
export function formatSpreads(title: string, spreads: PolicySpreads): string {
    const policies = Object.entries(spreads);
    if (policies.length === 0) {
        return "";
    }
    const names = [...new Set(policies.flatMap(([, measures]) => Object.keys(measures)))];
    const head = [title.padEnd(cellWidth), ...policies.map(([policy]) => policy.padEnd(cellWidth))].join("");
    const lines = names.map(name => {
        const cells = policies.map(([, measures]) => {
            const spread = measures[name];
            const cell = spread === undefined
                ? "-"
                : `${formatFigure(spread.median)} (${formatFigure(spread.lowest)}..${formatFigure(spread.highest)})`;
            return cell.padEnd(cellWidth);
        });
        return [name.padEnd(cellWidth), ...cells].join("");
    });
    return ["", head, ...lines].join("\n");
}
