/** One call that a stand-in service has run. @public */
export type ServiceRun = {
  readonly number: number;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly attempt: string;
  readonly key: string;
};
