/**
 * Whether all required labels are present with the same values.
 *
 * @internal
 */
export function hasLabels(
  labels: Readonly<Record<string, string>>,
  required: Readonly<Record<string, string>>,
): boolean {
  for (const [key, value] of Object.entries(required)) {
    if (labels[key] !== value) {
      return false;
    }
  }
  return true;
}
