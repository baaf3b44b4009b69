import { type Clock, createSystemClock } from "./mod.ts";

/** A VM whose clocks a test moves. */
class TestVm {
  monotonic = 100;
  wall = 1_000_000;
  uptime = 5000;
  /** How fast the time since its start runs; it may be another machine's. */
  uptimeRate = 1;

  createClock(): Clock {
    return createSystemClock({
      readMonotonic: () => this.monotonic,
      readWall: () => this.wall,
      readUptime: () => this.uptime,
    });
  }

  run(time: number): void {
    this.monotonic += time;
    this.wall += time;
    this.uptime += time * this.uptimeRate;
  }

  suspend(time: number): void {
    this.wall += time;
    this.uptime += time;
  }
}

describe("the clock", () => {
  test("advances by the larger of the monotonic and the wall clock", () => {
    const vm = new TestVm();
    const clock = vm.createClock();
    const start = clock.now();
    vm.run(50);
    expect(clock.now() - start).toBe(50);
    vm.suspend(4000);
    expect(clock.now() - start).toBe(4050);
  });

  test("never goes back, so that no lease grows, when the wall clock does", () => {
    const vm = new TestVm();
    const clock = vm.createClock();
    const start = clock.now();
    vm.wall -= 500_000;
    vm.monotonic += 10;
    expect(clock.now() - start).toBe(10);
  });

  // An entry whose VM had been suspended for 8 s took all it knew for 8 s
  // younger than it was: it sent requests to upstreams that had ended, and
  // deadlines later than the callers'. The monotonic clock, by which it counted,
  // stands still meanwhile.
  test("steady time counts while the VM is suspended", () => {
    const vm = new TestVm();
    const clock = vm.createClock();
    const start = clock.steady();
    for (const [ran, suspended] of [[50, 8000], [3000, 0], [20, 700]]) {
      const before = clock.steady();
      vm.run(ran!);
      vm.suspend(suspended!);
      expect(clock.steady() - before).toBeCloseTo(ran! + suspended!);
    }
    vm.run(2500);
    expect(clock.steady() - start).toBeCloseTo(14_270);
  });

  test("steady time doesn't count when the wall clock is set", () => {
    const vm = new TestVm();
    const clock = vm.createClock();
    const start = clock.steady();
    for (const step of [2400, -2400, 60_000, -60_000]) {
      vm.run(500);
      vm.wall += step;
      clock.steady();
      vm.run(500);
      clock.steady();
    }
    expect(clock.steady() - start).toBeCloseTo(4000);
    vm.suspend(5000);
    expect(clock.steady() - start).toBeCloseTo(9000);
  });

  // The process waited for the processor between its readings of two clocks, and
  // took no notice of any suspension from then on.
  test("a suspension is told after a check that was held up", () => {
    const vm = new TestVm();
    const clock = vm.createClock();
    const start = clock.steady();
    vm.run(1000);
    vm.uptime += 400;
    clock.steady();
    vm.uptime -= 400;
    vm.run(1000);
    clock.steady();
    vm.run(1000);
    clock.steady();
    vm.suspend(5000);
    expect(clock.steady() - start).toBeCloseTo(8000);
  });

  test("nothing is told from another machine's time since its start", () => {
    for (const rate of [0, 0.7, 1.4]) {
      const vm = new TestVm();
      vm.uptimeRate = rate;
      const clock = vm.createClock();
      const start = clock.steady();
      for (let second = 0; second < 60; second += 1) {
        vm.run(1000);
        clock.steady();
      }
      vm.wall += 18_000;
      vm.uptime += 18_000;
      expect(clock.steady() - start).toBeCloseTo(60_000);
    }
  });

  test("the clock of this very process runs like the monotonic one", async () => {
    const clock = createSystemClock();
    const [start, from] = [clock.steady(), performance.now()];
    await new Promise((resolve) => setTimeout(resolve, 1200));
    const passed = performance.now() - from;
    expect(Math.abs(clock.steady() - start - passed)).toBeLessThan(50);
  });
});
