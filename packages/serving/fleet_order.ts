/** How many upstreams of one kind a service is to have in a zone. @public */
export type FleetOrder = {
  readonly service: string;
  readonly zone: string;
  readonly isSpot: boolean;
  readonly count: number;
};
