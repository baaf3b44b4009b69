import type { Load } from "./load.ts";
import { LOAD_KINDS } from "./load_kinds.ts";

const EVEN_ENGINES = {
  kinds: LOAD_KINDS.evenEngines,
  engine: { slots: 12, memoryTokens: 501_883, prefillSpeed: 61.8, step: 3.09 },
  engines: 14,
  entries: 10,
  lost: 0,
  surge: 1,
  rates: {},
  slowShare: 0,
  cutOffShare: 0,
};
const UNEVEN_ENGINES = {
  ...EVEN_ENGINES,
  kinds: LOAD_KINDS.unevenEngines,
  engine: { slots: 16, memoryTokens: 680_684, prefillSpeed: 112, step: 3.41 },
  engines: 12,
  slowShare: 0.15,
};
const TEN_LOST = { ...EVEN_ENGINES, lost: 10 };
const NINE_LOST = { ...UNEVEN_ENGINES, lost: 9 };

/** Loads by benchmark. The names appear in tables and on the command line. */
export const LOADS = {
  competition: [
    { name: "room for all", label: "room", ...EVEN_ENGINES },
    { name: "8 of 14 lost", label: "8 lost", ...EVEN_ENGINES, lost: 8 },
    { name: "10 of 14 lost", label: "10 lost", ...TEN_LOST },
    {
      name: "8 of 14 lost, surge of a workspace",
      label: "8 lost, surge",
      ...EVEN_ENGINES,
      lost: 8,
      surge: 6,
    },
    {
      name: "10 of 14 lost, surge of a workspace",
      label: "10 lost, surge",
      ...TEN_LOST,
      surge: 6,
    },
    {
      name: "queries x 2.6, 6 of 14 lost",
      label: "queries x 2.6",
      ...EVEN_ENGINES,
      lost: 6,
      rates: { query: 2.6 },
    },
    {
      name: "10 of 14 lost, 96 entries",
      label: "96 entries",
      ...TEN_LOST,
      entries: 96,
    },
    {
      name: "10 of 14 lost, 300 entries",
      label: "300 entries",
      ...TEN_LOST,
      entries: 300,
    },
    {
      name: "10 of 14 lost, a tenth of the entries cut off",
      label: "a tenth cut off",
      ...TEN_LOST,
      cutOffShare: 0.1,
    },
  ],
  uneven: [
    { name: "no engine slow", label: "room", ...UNEVEN_ENGINES, slowShare: 0 },
    { name: "15 % slow", label: "slow", ...UNEVEN_ENGINES },
    { name: "15 % slow, 9 of 12 lost", label: "9 lost", ...NINE_LOST },
    {
      name: "15 % slow, 9 of 12 lost, surge of a workspace",
      label: "9 lost, surge",
      ...NINE_LOST,
      surge: 6,
    },
    {
      name: "memory short",
      label: "memory short",
      ...EVEN_ENGINES,
      engine: { ...EVEN_ENGINES.engine, memoryTokens: 125_470 },
    },
    {
      name: "15 % slow, 96 entries",
      label: "96 entries",
      ...UNEVEN_ENGINES,
      entries: 96,
    },
    {
      name: "15 % slow, 300 entries",
      label: "300 entries",
      ...UNEVEN_ENGINES,
      entries: 300,
    },
    {
      name: "15 % slow, 9 of 12 lost, a tenth of the entries cut off",
      label: "a tenth cut off",
      ...NINE_LOST,
      cutOffShare: 0.1,
    },
  ],
} as const satisfies Record<string, readonly Load[]>;
