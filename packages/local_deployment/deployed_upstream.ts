/** One stand-in upstream of a local deployment. @public */
export type DeployedUpstream = {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  readonly settingsFile: string;
};
