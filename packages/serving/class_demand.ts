import type { RequestClass } from "./request_class.ts";

/** Requests of one class that need a permit, whether or not they get one. */
export type ClassDemand = RequestClass & { readonly count: number };
