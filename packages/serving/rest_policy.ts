/** What entries do about rejections. */
export type RestPolicy = {
  /** Whether rests and backoffs count at all. */
  readonly heeds: boolean;
  /** Whether rejections are announced to other entries. */
  readonly announces: boolean;
  /** Whether a request is held until a rest ends that is nearly over. */
  readonly holds: boolean;
  /** Whether entries return to an upstream one by one and try it first. */
  readonly returnsGradually: boolean;
};
