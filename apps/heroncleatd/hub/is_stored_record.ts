import type { UpstreamRecord } from "@heroncleat/serving";

/** Names have up to 128 characters, and IDs the start time in addition. */
const MAX_ID_CHARACTERS = 200;
const STATES: readonly unknown[] = ["ready", "draining", "gone"];

/** Whether a record from a disk has the fields that merging it relies on. */
export function isStoredRecord(record: unknown): record is UpstreamRecord {
  const { id, name, born, service, zone, address, state, sequence } =
    (record ?? {}) as Partial<Record<keyof UpstreamRecord, unknown>>;
  return isId(id) && (name === undefined || isId(name)) &&
    (born === undefined || Number.isFinite(born)) &&
    [service, zone, address].every((text) => typeof text === "string") &&
    STATES.includes(state) && Number.isFinite(sequence);
}

function isId(value: unknown): boolean {
  return typeof value === "string" && value !== "" &&
    value.length <= MAX_ID_CHARACTERS;
}
