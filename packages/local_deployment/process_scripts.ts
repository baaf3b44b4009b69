/** Paths of the scripts that a deployment's processes run. @public */
export type ProcessScripts = {
  readonly daemon: string;
  readonly standIn: string;
};
