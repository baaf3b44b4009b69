/** Paths of the scripts that the processes of a deployment run. @public */
export type ProcessScripts = {
  readonly daemon: string;
  readonly standIn: string;
};
