// Manifest parsing and checks that the schema cannot express.
#include "lavenderarch/config/manifest.h"

#include "lavenderarch/config/schema_check.h"

#include <algorithm>
#include <set>

namespace lavenderarch {
namespace {

constexpr double defaultTailWeight = 0.5;

template <typename Settings>
void requireUniqueNames(const std::vector<Settings> &items, const std::string &field,
                        std::string &problems)
{
    std::set<std::string> names;
    for (std::size_t index = 0; index < items.size(); ++index) {
        if (!names.insert(items[index].name.text()).second)
            problems += "\n  /" + field + "/" + std::to_string(index) + "/name: '" +
                        items[index].name.text() + "' appears twice";
    }
}

template <typename Settings, typename Name>
const Settings *findByName(const std::vector<Settings> &items, const Name &name)
{
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&](const Settings &item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

StatusOr<Manifest> Manifest::parse(const std::string &text)
{
    const auto document = parseJson(text, "manifest");
    if (!document.ok())
        return document.status();
    const Status valid = requireSchema(manifestSchemaText, *document, "manifest is not valid:");
    if (!valid.ok())
        return valid;
    Manifest manifest;
    manifest.m_document = *document;
    manifest.m_deployment = document->at("deployment").get<std::string>();
    manifest.m_dataCentres = document->at("dataCentres").get<std::vector<DataCentreSettings>>();
    manifest.m_services = document->at("services").get<std::vector<ServiceSettings>>();
    manifest.m_customers = document->value("customers", std::vector<CustomerSettings>());
    manifest.m_tailWeight = document->value("tailWeight", defaultTailWeight);
    std::string problems;
    requireUniqueNames(manifest.m_dataCentres, "dataCentres", problems);
    requireUniqueNames(manifest.m_services, "services", problems);
    requireUniqueNames(manifest.m_customers, "customers", problems);
    if (!problems.empty())
        return makeError(ErrorKind::InvalidRequest, "manifest is not valid:" + problems);
    return manifest;
}

StatusOr<Manifest> Manifest::fromStored(const std::string &text)
{
    if (text.empty())
        return Manifest();
    const auto stored = parseJson(text, "stored manifest");
    if (!stored.ok())
        return stored.status();
    if (!stored->contains("version") || !stored->contains("document"))
        return makeError(ErrorKind::InvalidRequest, "stored manifest lacks version or document");
    const auto manifest = parse(jsonText(stored->at("document")));
    if (!manifest.ok())
        return manifest.status();
    return manifest->withVersion(stored->at("version").get<std::int64_t>());
}

std::string Manifest::stored() const
{
    if (m_version == 0)
        return {};
    return jsonText(Json{{"version", m_version}, {"document", m_document}});
}

Manifest Manifest::withVersion(std::int64_t version) const
{
    Manifest copy = *this;
    copy.m_version = version;
    return copy;
}

const ServiceSettings *Manifest::findService(const ServiceName &name) const
{
    return findByName(m_services, name);
}

const CustomerSettings *Manifest::findCustomer(const CustomerName &name) const
{
    return findByName(m_customers, name);
}

const DataCentreSettings *Manifest::findDataCentre(const DataCentreName &name) const
{
    return findByName(m_dataCentres, name);
}

} // namespace lavenderarch
