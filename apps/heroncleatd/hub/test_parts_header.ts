/** Lists the parts of a prompt in tests. */
export const TEST_PARTS_HEADER = "x-parts";
