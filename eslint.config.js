import tseslint from "typescript-eslint";

const coreIsPure = {
    files: ["packages/core/src/**/*.ts"],
    ignores: ["**/*.test.ts"],
    rules: {
        "no-restricted-imports": ["error", { patterns: ["node:*", "@tamarackpath/*", "ws", "undici", "express"] }],
        "no-restricted-globals": ["error", "setTimeout", "setInterval", "setImmediate", "fetch", "process"],
        "no-restricted-properties": [
            "error",
            { object: "Date", property: "now" },
            { object: "Math", property: "random" },
            { object: "performance", property: "now" },
        ],
    },
};

/** Headers, paths and document names of the users' platform. Code outside platform/ must not contain them. */
const platformNames = String
    .raw`/^tamarackpath-(deadline|response|expect|weight|not-exec|instance|wait|model|token|prompt|pin|hold|request|length|kv)|^server-limit|^\/tamarackpath\/|^op\/|^servers\//i`;

const platformNamesStayInside = {
    files: ["packages/**/*.ts", "apps/**/*.ts"],
    rules: {
        "no-restricted-syntax": ["error", {
            selector: `Literal[value=${platformNames}]`,
            message: "Names of the users' platform belong into platform/.",
        }],
    },
};

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "out/**", "target/**"] },
    ...tseslint.configs.recommended,
    {
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "prefer-const": "error",
            "no-var": "error",
            "one-var": ["error", "never"],
            "@typescript-eslint/no-explicit-any": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^unused" }],
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "inline-type-imports" }],
        },
    },
    coreIsPure,
    platformNamesStayInside,
);
