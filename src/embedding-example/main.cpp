// Example program that uses the endpoint table of the installed library.
#include <iostream>
#include <lavenderarch/core/clock.h>
#include <lavenderarch/membership/endpoint_table.h>

int main()
{
    using namespace lavenderarch;
    const TimePoint now = SystemClock().now();
    Announcement announcement;
    announcement.endpoint = EndpointId("printer-1");
    announcement.service = ServiceName("labels");
    announcement.deadline = now + Milliseconds(1500);
    EndpointTable table;
    table.apply(announcement, now);
    std::cout << table.serving()->of(ServiceName("labels")).size() << " endpoint serves labels\n";
    table.expire(now + Milliseconds(1500));
    std::cout << table.serving()->of(ServiceName("labels")).size() << " after its deadline\n";
}
