/** Tests compile with swc to CommonJS; `true-myth` ships ES modules only. */
const swc = ["@swc/jest", {
  jsc: { target: "es2022", parser: { syntax: "typescript" } },
  module: { type: "commonjs" },
}];

export default {
  testEnvironment: "node",
  testMatch: ["**/*_test.ts"],
  modulePathIgnorePatterns: ["/dist/"],
  transform: { "\\.[jt]s$": swc },
  transformIgnorePatterns: ["/node_modules/(?!true-myth/)"],
  moduleNameMapper: {
    "^@heroncleat/heroncleatd$": "<rootDir>/apps/heroncleatd/mod.ts",
    "^@heroncleat/([a-z_]+)$": "<rootDir>/packages/$1/mod.ts",
  },
  testTimeout: 60_000,
  maxWorkers: 4,
};
