/** Renders the report as one HTML page: a table of the target values, and an SVG bar chart for each measure. */

import { type BenchResult, type PolicySpreads } from "./BenchResult.js";
import { formatFigure } from "./tables.js";

const barHeight = 18;
const labelWidth = 150;
const chartWidth = 640;
const valueWidth = 190;

/** Renders all figures of a run as HTML. */
export function renderReport(result: BenchResult): string {
    const { workload, fault, hosts, seeds } = result.setup;
    const rows = result.targets.map(({ measure, target, spread, met }) =>
        `<tr><td>${measure}</td><td>${escapeHtml(target)}</td><td>${
            spread === undefined ? "-" : formatFigure(spread.median)
        }</td>`
        + `<td>${met ? "met" : "<b>not met</b>"}</td></tr>`
    );
    return [
        "<!doctype html><meta charset=\"utf-8\"><title>tamarackpath bench</title>",
        "<style>body{font-family:sans-serif;margin:2em}td{padding:2px 12px}</style>",
        `<h1>Workload ${workload}, fault ${fault}, ${hosts} hosts, seeds ${seeds.join(", ")}</h1>`,
        rows.length === 0 ? "" : `<h2>Targets (virtual time)</h2><table>${rows.join("")}</table>`,
        renderCharts("Virtual time", result.virtual),
        renderCharts("Real processes", result.live),
    ].join("\n");
}

function renderCharts(title: string, spreads: PolicySpreads): string {
    const policies = Object.entries(spreads);
    const names = [...new Set(policies.flatMap(([, measures]) => Object.keys(measures)))];
    return names.length === 0 ? "" : [`<h2>${title}</h2>`, ...names.map(name => renderChart(name, spreads))].join("\n");
}

function renderChart(name: string, spreads: PolicySpreads): string {
    const bars = Object.entries(spreads).flatMap(([policy, measures]) => {
        const spread = measures[name];
        return spread === undefined ? [] : [{ policy, spread }];
    });
    const maxValue = Math.max(...bars.map(({ spread }) => spread.highest), Number.MIN_VALUE);
    const scale = (value: number): number => value / maxValue * (chartWidth - labelWidth - valueWidth);
    const lines = bars.map(({ policy, spread }, nth) => {
        const y = nth * (barHeight + 4);
        const middle = y + barHeight / 2;
        return `<text x="0" y="${y + 13}" font-size="12">${policy}</text>`
            + `<rect x="${labelWidth}" y="${y}" width="${scale(spread.median)}" height="${barHeight}" fill="#4a7"/>`
            + `<line x1="${labelWidth + scale(spread.lowest)}" x2="${labelWidth + scale(spread.highest)}"`
            + ` y1="${middle}" y2="${middle}" stroke="#000"/>`
            + `<text x="${labelWidth + scale(spread.highest) + 8}" y="${y + 13}" font-size="12">`
            + `${formatFigure(spread.median)} (${formatFigure(spread.lowest)} to ${
                formatFigure(spread.highest)
            })</text>`;
    });
    const height = bars.length * (barHeight + 4);
    return `<h3>${escapeHtml(name)}</h3><svg width="${chartWidth}" height="${height}">${lines.join("")}</svg>`;
}

function escapeHtml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
