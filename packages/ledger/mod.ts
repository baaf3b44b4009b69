/**
 * The replicated ledger: claims of non-idempotent requests and custody of
 * accepted ones.
 *
 * @module
 */
export { Ledger } from "./ledger.ts";
export { migrateLedger } from "./migrate_ledger.ts";
