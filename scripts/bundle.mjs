// Bundles the program that the platform's hosts run into one file, so that a start reads a single file.
import { build } from "esbuild";

await build({
    entryPoints: ["platform/src/main.ts"],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outfile: "target/tamarackd.cjs",
    conditions: ["tamarackpath-source"],
    // The text of the program stays in each process's memory. Names are kept, as logged errors show them.
    minifySyntax: true,
    minifyWhitespace: true,
    logLevel: "warning",
});
